#pragma once

#include <string_view>

namespace lugfork {

/** Destination of complete log lines. */
class LogOutput {
 public:
  virtual ~LogOutput() = default;

  /** Writes one line, which includes the newline. @return false if the line is lost. */
  virtual bool write(std::string_view line) = 0;
};

}  // namespace lugfork
