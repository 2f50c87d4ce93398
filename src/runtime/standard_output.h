#pragma once

#include "runtime/log_output.h"

namespace lugfork {

/** LogOutput that writes to standard output itself, for a process's first seconds. */
class StandardOutput : public LogOutput {
 public:
  bool write(std::string_view line) override;
};

/** @return true if a line can be written without waiting: a pipe then takes PIPE_BUF bytes. */
bool standardOutputHasRoom();

}  // namespace lugfork
