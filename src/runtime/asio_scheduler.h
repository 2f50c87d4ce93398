#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "common/scheduler.h"

namespace lugfork {

/** Scheduler on a Boost.Asio event loop. */
class AsioScheduler : public Scheduler {
 public:
  explicit AsioScheduler(boost::asio::io_context& io_context) : io_context_(io_context) {}

  void callAfter(Duration delay, std::function<void()> function) override {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_context_, delay);
    timer->async_wait(
        [timer, function = std::move(function)](const boost::system::error_code& error) {
          if (!error) {
            function();
          }
        });
  }

 private:
  boost::asio::io_context& io_context_;
};

}  // namespace lugfork
