#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <future>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "common/endpoint_parser.h"
#include "common/time_source.h"

/** What all programs share: exit codes, checks of flags, and calls into the event loop. */
namespace lugfork {

inline constexpr int kExitSuccess = 0;
/** The program ran and what was asked did not come out. */
inline constexpr int kExitFailure = 1;
/** Flags, settings or input files are wrong; nothing was done. */
inline constexpr int kExitUsage = 2;

/** Flag that takes "a.b.c.d:port" and checks it. */
CLI::Option* addEndpointOption(CLI::App& app, const std::string& name, Endpoint& endpoint,
                               const std::string& description);

/** Flag that takes a list of "a.b.c.d:port". */
CLI::Option* addEndpointListOption(CLI::App& app, const std::string& name,
                                   std::vector<Endpoint>& endpoints,
                                   const std::string& description);

/** Flag that takes whole milliseconds in [lowest, highest]. */
CLI::Option* addMillisecondsOption(CLI::App& app, const std::string& name, Duration& duration,
                                   milliseconds lowest, milliseconds highest,
                                   const std::string& description);

/** Calls a function on the event loop from another thread and waits for its result. */
template <typename Function>
auto callOnLoop(boost::asio::io_context& io_context, Function function) {
  std::packaged_task<decltype(function())()> task(std::move(function));
  auto result = task.get_future();
  boost::asio::post(io_context, [&task] { task(); });
  return result.get();
}

/**
 * Makes the C library give memory back to the system soon after it was freed, for daemons that read
 * a large document now and then.
 */
void returnFreedMemory();

/**
 * Parses the command line and the settings file, then runs the program.
 * @return the exit code; errors go to standard error.
 */
int runProgram(CLI::App& app, int argc, char** argv, const std::function<int()>& body);

}  // namespace lugfork
