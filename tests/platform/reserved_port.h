#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <random>
#include <stdexcept>
#include <string>

namespace lugfork::platform {

/**
 * A port number (TCP and UDP) for a program that a test starts later. It is unique among all
 * ReservedPorts of all processes on the machine: each object binds a Unix socket to an abstract
 * name that contains the number. The kernel frees the name when the process ends.
 */
class ReservedPort {
 public:
  ReservedPort() : ReservedPort(randomPort()) {}

  /** Reserves the first port from this one on that is neither reserved nor in use. */
  explicit ReservedPort(std::uint16_t first) {
    number_ = first;
    for (std::uint16_t attempt = 0; attempt < kPortCount; ++attempt) {
      if (lock() && isUnused()) {
        return;
      }
      release();
      number_ = number_ == kFirstPort + kPortCount - 1 ? kFirstPort
                                                       : static_cast<std::uint16_t>(number_ + 1);
    }
    throw std::runtime_error("no free port");
  }
  ~ReservedPort() { release(); }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  std::uint16_t number() const { return number_; }

 private:
  /** Below the ephemeral ports and those of PortBlock in tests/process/fleet.h. */
  static constexpr std::uint16_t kFirstPort = 12000;
  static constexpr std::uint16_t kPortCount = 11000;

  static std::uint16_t randomPort() {
    static std::mt19937 random{std::random_device{}()};
    return static_cast<std::uint16_t>(kFirstPort + random() % kPortCount);
  }

  bool lock() {
    const std::string text = "lugfork-test-port-" + std::to_string(number_);
    sockaddr_un name{};
    name.sun_family = AF_UNIX;
    // A leading zero byte selects the abstract namespace, which leaves no file behind.
    std::memcpy(name.sun_path + 1, text.data(), text.size());
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + text.size());
    lock_socket_ = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    return ::bind(lock_socket_, reinterpret_cast<const sockaddr*>(&name), size) == 0;
  }

  void release() {
    if (lock_socket_ >= 0) {
      ::close(lock_socket_);
      lock_socket_ = -1;
    }
  }

  bool isUnused() const { return canBind(SOCK_STREAM) && canBind(SOCK_DGRAM); }

  bool canBind(int type) const {
    const int probe = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(number_);
    const bool can = ::bind(probe, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
    ::close(probe);
    return can;
  }

  int lock_socket_ = -1;
  std::uint16_t number_ = 0;
};

}  // namespace lugfork::platform
