#pragma once

#include "platform/fake_store.h"
#include "platform/soak/promise_monitor.h"

namespace lugfork::soak {

inline constexpr const char* kFirstService = "a";
inline constexpr const char* kSecondService = "b";
inline constexpr Endpoint kFixedRoute{0xc6120001, 443};
inline constexpr Endpoint kMovingRoute{0xc6120001, 8443};

/** Publishes the routes as an operator does; one alternates between the two services. */
class RoutePublisher {
 public:
  RoutePublisher(platform::FakeStore& store, PromiseMonitor& monitor)
      : store_(store), monitor_(monitor) {
    publish();
  }

  void moveRoute() {
    moving_service_ = moving_service_ == kFirstService ? kSecondService : kFirstService;
    publish();
  }

 private:
  void publish() {
    store_.put("op/config",
               R"({"version":)" + std::to_string(++version_) +
                   R"(,"routes":[{"host":"198.18.0.1","path_prefix":"/443/","service":"a"},)" +
                   R"({"host":"198.18.0.1","path_prefix":"/8443/","service":")" + moving_service_ +
                   R"("}]})");
    monitor_.onRouteMoved(kMovingRoute, moving_service_, SoakClock::now());
  }

  platform::FakeStore& store_;
  PromiseMonitor& monitor_;
  std::string moving_service_ = kFirstService;
  int version_ = 0;
};

}  // namespace lugfork::soak
