#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <future>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "common/endpoint_parser.h"
#include "common/time_source.h"

/** Shared by all programs: exit codes, flags with checks, and calls into the event loop. */
namespace lugfork {

inline constexpr int kExitSuccess = 0;
/** The program ran, but the requested operation failed. */
inline constexpr int kExitFailure = 1;
/** Flags, settings or input files are invalid; nothing was done. */
inline constexpr int kExitUsage = 2;

/** Adds a flag that takes "a.b.c.d:port". */
CLI::Option* addEndpointOption(CLI::App& app, const std::string& name, Endpoint& endpoint,
                               const std::string& description);

/** Adds a flag that takes a comma-separated list of "a.b.c.d:port". */
CLI::Option* addEndpointListOption(CLI::App& app, const std::string& name,
                                   std::vector<Endpoint>& endpoints,
                                   const std::string& description);

/** Adds a flag that takes an integer number of milliseconds in [min_value, max_value]. */
CLI::Option* addMillisecondsOption(CLI::App& app, const std::string& name, Duration& duration,
                                   milliseconds min_value, milliseconds max_value,
                                   const std::string& description);

/** Runs a function on the event loop from another thread and blocks until its result. */
template <typename Function>
auto callOnLoop(boost::asio::io_context& io_context, Function function) {
  std::packaged_task<decltype(function())()> task(std::move(function));
  auto result = task.get_future();
  boost::asio::post(io_context, [&task] { task(); });
  return result.get();
}

/**
 * Makes the C library return freed memory to the system early, for daemons that occasionally read a
 * large document.
 */
void returnFreedMemory();

/**
 * Parses the command line and the settings file, then runs the program.
 * @return the exit code; errors go to standard error.
 */
int runProgram(CLI::App& app, int argc, char** argv, const std::function<int()>& body);

}  // namespace lugfork
