#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "common/time_source.h"

namespace lugfork {

/** Calls a function on the event loop at a fixed interval until the timer is destroyed. */
class PeriodicTimer {
 public:
  PeriodicTimer(boost::asio::io_context& io_context, Duration interval,
                std::function<void()> callback)
      : timer_(io_context), interval_(interval), callback_(std::move(callback)) {
    schedule();
  }

 private:
  void schedule() {
    timer_.expires_after(interval_);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      callback_();
      schedule();
    });
  }

  boost::asio::steady_timer timer_;
  const Duration interval_;
  std::function<void()> callback_;
};

}  // namespace lugfork
