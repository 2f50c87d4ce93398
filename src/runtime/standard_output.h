#pragma once

#include "runtime/log_output.h"

namespace lugfork {

/** LogOutput that writes directly to standard output; used until log4cxx is loaded. */
class StandardOutput : public LogOutput {
 public:
  bool write(std::string_view line) override;
};

/** @return true if a line can be written without blocking; a pipe then accepts PIPE_BUF bytes. */
bool standardOutputIsWritable();

}  // namespace lugfork
