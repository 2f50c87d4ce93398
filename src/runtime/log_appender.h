#pragma once

#include <memory>
#include <string>

#include "common/result.h"
#include "runtime/log_output.h"

namespace lugfork {

/**
 * Loads log4cxx's appender, a module in the program's directory. log4cxx isn't linked into the
 * program, as its 5,200 relocations take 1.2 ms of CPU time before main().
 * @return the output, or the error of the dynamic loader.
 */
Result<std::unique_ptr<LogOutput>, std::string> loadLogAppender();

/** Name of the module's only function, which writes a line with its newline to standard output. */
inline constexpr const char* kAppendLogLine = "lugforkAppendLogLine";
using AppendLogLine = void (*)(const char* line, std::size_t size);

}  // namespace lugfork
