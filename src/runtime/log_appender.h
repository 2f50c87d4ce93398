#pragma once

#include <memory>
#include <string>

#include "common/result.h"
#include "runtime/log_output.h"

namespace lugfork {

/**
 * Loads log4cxx's appender: a module that lies beside the program. log4cxx is no part of the
 * program itself, as its 5,200 relocations took 1.2 ms of processor time before the first line of
 * main().
 * @return the output, or why it can't be loaded.
 */
Result<std::unique_ptr<LogOutput>, std::string> loadLogAppender();

/** The module's one function; writes a line, which has its line end, to standard output. */
inline constexpr const char* kAppendLogLine = "lugforkAppendLogLine";
using AppendLogLine = void (*)(const char* line, std::size_t size);

}  // namespace lugfork
