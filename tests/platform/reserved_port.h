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
 * A port number, TCP and UDP, for a program that a test starts later. No other ReservedPort on the
 * machine has the same number while this one lives, in whatever process: the holder keeps a socket
 * bound to a name made of the number, which the kernel frees when the process ends.
 */
class ReservedPort {
 public:
  ReservedPort() : ReservedPort(randomNumber()) {}

  /** Takes the first number from there on that nobody holds or uses. */
  explicit ReservedPort(std::uint16_t first) {
    number_ = first;
    for (std::uint16_t tried = 0; tried < kNumbers; ++tried) {
      if (hold() && isUnused()) {
        return;
      }
      release();
      number_ = number_ == kFirst + kNumbers - 1 ? kFirst : static_cast<std::uint16_t>(number_ + 1);
    }
    throw std::runtime_error("no free port");
  }
  ~ReservedPort() { release(); }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  std::uint16_t number() const { return number_; }

 private:
  /** Below the ports of outgoing connections and those of PortBlock in tests/process/fleet.h. */
  static constexpr std::uint16_t kFirst = 12000;
  static constexpr std::uint16_t kNumbers = 11000;

  static std::uint16_t randomNumber() {
    static std::mt19937 random{std::random_device{}()};
    return static_cast<std::uint16_t>(kFirst + random() % kNumbers);
  }

  bool hold() {
    const std::string text = "lugfork-test-port-" + std::to_string(number_);
    sockaddr_un name{};
    name.sun_family = AF_UNIX;
    // A first byte of zero: a name outside of the file system, which no file outlives.
    std::memcpy(name.sun_path + 1, text.data(), text.size());
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + text.size());
    holder_ = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    return ::bind(holder_, reinterpret_cast<const sockaddr*>(&name), size) == 0;
  }

  void release() {
    if (holder_ >= 0) {
      ::close(holder_);
      holder_ = -1;
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

  int holder_ = -1;
  std::uint16_t number_ = 0;
};

}  // namespace lugfork::platform
