#pragma once

#include <string_view>

namespace lugfork {

/** Where finished log lines go. */
class LogOutput {
 public:
  virtual ~LogOutput() = default;

  /** Writes one line, which has its line end. @return false where the line is lost. */
  virtual bool write(std::string_view line) = 0;
};

}  // namespace lugfork
