#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace lugfork {

/** Runs the event loop until SIGTERM or SIGINT. */
inline void runUntilStopped(boost::asio::io_context& io_context) {
  boost::asio::signal_set signals(io_context, SIGTERM, SIGINT);
  signals.async_wait([&io_context](const boost::system::error_code&, int) { io_context.stop(); });
  io_context.run();
}

}  // namespace lugfork
