#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <optional>
#include <thread>

#include "platform/fake_store.h"
#include "platform/reserved_port.h"
#include "runtime/http_client.h"

/** lugfork-packetd as a process on loopback, and the sockets of its callers and servers. */
namespace lugfork::platform {
using Clock = std::chrono::steady_clock;
using Bytes = std::vector<std::uint8_t>;

inline constexpr std::uint32_t kLoopback = 0x7f000001;
inline constexpr auto kWaitTimeout = std::chrono::seconds(15);
inline const std::string kKey = "00112233445566778899aabbccddeeff";

inline sockaddr_in toSockaddr(Endpoint endpoint) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(endpoint.address);
  name.sin_port = htons(endpoint.port);
  return name;
}

/** UDP socket of a test; receives with a time limit. */
class TestSocket {
 public:
  explicit TestSocket(std::uint32_t address = kLoopback, std::uint16_t port = 0)
      : socket_(::socket(AF_INET, SOCK_DGRAM, 0)) {
    const sockaddr_in name = toSockaddr({address, port});
    REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0);
    const timeval limit{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  ~TestSocket() { ::close(socket_); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  Endpoint address() const {
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&name), &size);
    return {ntohl(name.sin_addr.s_addr), ntohs(name.sin_port)};
  }

  void send(Endpoint to, const Bytes& bytes) {
    const sockaddr_in name = toSockaddr(to);
    ::sendto(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&name),
             sizeof(name));
  }

  int descriptor() const { return socket_; }

  Bytes receive() { return receiveFrom().first; }

  /** @return a datagram and its sender; no bytes where none came in time. */
  std::pair<Bytes, Endpoint> receiveFrom() {
    Bytes bytes(2048);
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const auto size = ::recvfrom(socket_, bytes.data(), bytes.size(), 0,
                                 reinterpret_cast<sockaddr*>(&from), &from_size);
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return {bytes, {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)}};
  }

 private:
  int socket_;
};

inline std::string temporaryFile(const std::string& content) {
  std::string path = "/tmp/lugfork-packetd-XXXXXX";
  const int file = mkstemp(path.data());
  REQUIRE(file >= 0);
  ::close(file);
  std::ofstream(path) << content;
  return path;
}

/** One daemon; killed at the end of the test if it still runs. */
class Packetd {
 public:
  /** Settings of a daemon that other balancers can follow. */
  struct PeerSettings {
    std::uint32_t address = kLoopback;
    /** The same for all balancers; 0 to follow nobody. */
    std::uint16_t peer_port = 0;
    /** Where callers' packets come; unset for any free port. */
    Endpoint packet_address = {};
    std::string zone = "lac";
  };

  explicit Packetd(Endpoint store, const std::vector<Endpoint>& seeds = {})
      : Packetd(store, seeds, PeerSettings()) {}

  Packetd(Endpoint store, const std::vector<Endpoint>& seeds, const PeerSettings& peers)
      : ready_{kLoopback, ready_port_.number()},
        control_{peers.address, control_port_.number()},
        packet_{kLoopback, packet_port_.number()} {
    if (peers.packet_address.isSet()) {
      packet_ = peers.packet_address;
    }
    std::string settings =
        "name = \"n\"\nzone = \"" + peers.zone + "\"\ntoken-key = \"" + kKey + "\"\nstore = \"" +
        toString(store) + "\"\npacket-address = \"" + toString(packet_) + "\"\nready-address = \"" +
        toString(ready_) + "\"\ncontrol-address = \"" + toString(control_) +
        "\"\nleave-minimum = 300\nleave-quiet = 100\nleave-maximum = 5000\nseeds = [";
    for (const Endpoint& seed : seeds) {
      settings += "\"" + toString(seed) + "\",";
    }
    settings += "]\n";
    if (peers.peer_port != 0) {
      settings += "peer-address = \"" + toString(Endpoint{peers.address, peers.peer_port}) + "\"\n";
    }
    settings_file_ = temporaryFile(settings);
    log_file_ = temporaryFile("");
  }

  ~Packetd() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::remove(settings_file_.c_str());
    std::remove(log_file_.c_str());
  }
  Packetd(const Packetd&) = delete;
  Packetd& operator=(const Packetd&) = delete;

  /** Starts another copy of the program from now on. */
  void setProgram(const std::string& program) { program_ = program; }

  /** @param flags besides the settings file. */
  void start(const std::vector<std::string>& flags = {}) { startWith(settings_file_, flags); }

  /**
   * Starts with a settings file of the caller's. Returns once the program has taken the place of
   * the test's own copy.
   */
  void startWith(const std::string& settings_file, const std::vector<std::string>& flags = {}) {
    std::vector<const char*> arguments{program_.c_str(), "--settings", settings_file.c_str()};
    for (const std::string& flag : flags) {
      arguments.push_back(flag.c_str());
    }
    arguments.push_back(nullptr);
    std::array<int, 2> until_exec{};
    REQUIRE(::pipe2(until_exec.data(), O_CLOEXEC) == 0);
    const std::lock_guard lock(mutex_);
    pid_ = ::fork();
    if (pid_ == 0) {
      // Handlers of the test itself would be seen, and run, as the program's.
      for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        ::signal(number, SIG_DFL);
      }
      const int log = ::open(log_file_.c_str(), O_WRONLY | O_APPEND);
      ::dup2(log, STDOUT_FILENO);
      ::execv(program_.c_str(), const_cast<char* const*>(arguments.data()));
      _exit(127);
    }
    ::close(until_exec[1]);
    char none = 0;
    while (::read(until_exec[0], &none, 1) < 0 && errno == EINTR) {
    }
    ::close(until_exec[0]);
  }

  /**
   * @return whether the process can't be ended by a signal's default: it blocks the signal or has a
   * handler, as from its first line on, or it has ended before.
   */
  bool blocksOrHandles(int number) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    const std::uint64_t bit = std::uint64_t{1} << (number - 1);
    bool holds = false;
    for (std::string line; std::getline(status, line);) {
      const bool has_ended = line.starts_with("State:\tZ");
      const bool is_mask = line.starts_with("SigBlk:") || line.starts_with("SigCgt:");
      holds =
          holds || has_ended || (is_mask && (std::stoull(line.substr(7), nullptr, 16) & bit) != 0);
    }
    return holds;
  }

  /** To a process that has ended nothing is sent: no process and the test's own group share 0. */
  void signal(int number) const {
    const std::lock_guard lock(mutex_);
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }

  /** @return the exit code, or minus the number of the signal that ended the process. */
  int wait() {
    siginfo_t ended{};
    ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOWAIT);
    const std::lock_guard lock(mutex_);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    return onEnd(status);
  }

  /** @return what wait() would, or nothing while the process runs. */
  std::optional<int> tryWait() {
    const std::lock_guard lock(mutex_);
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) {
      return std::nullopt;
    }
    return onEnd(status);
  }

  int readyStatus() const {
    HttpCall call;
    call.server = ready_;
    call.target = "/ready";
    const auto reply = httpRequest(call);
    return reply ? reply.value().status : 0;
  }

  bool waitForReady(int status) const {
    return eventually([&] { return readyStatus() == status; });
  }

  std::string metrics() const {
    HttpCall call;
    call.server = control_;
    call.target = "/metrics";
    const auto reply = httpRequest(call);
    return reply ? reply.value().body : "";
  }

  bool waitForMetric(const std::string& line) const {
    return eventually([&] { return metrics().find(line) != std::string::npos; });
  }

  std::string log() const {
    std::ifstream file(log_file_);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

  static bool eventually(const std::function<bool()>& condition) {
    const auto limit = Clock::now() + kWaitTimeout;
    while (Clock::now() < limit) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  /** @return the most memory that the running process has used; 0 where none runs [KB]. */
  std::size_t peakMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoul(line.substr(line.find_first_of("0123456789")));
      }
    }
    return 0;
  }

  Endpoint packetAddress() const { return packet_; }
  Endpoint controlAddress() const { return control_; }
  Endpoint readyAddress() const { return ready_; }
  const std::string& settingsFile() const { return settings_file_; }

 private:
  int onEnd(int status) {
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

  /** Held until the daemon is gone, which may start later and more than once. */
  const ReservedPort ready_port_;
  const ReservedPort control_port_;
  const ReservedPort packet_port_;
  Endpoint ready_;
  Endpoint control_;
  Endpoint packet_;
  std::string program_ = LUGFORK_PACKETD;
  std::string settings_file_;
  std::string log_file_;
  /** Other threads send signals too: not to a process whose number is free again. */
  mutable std::mutex mutex_;
  pid_t pid_ = 0;
};

}  // namespace lugfork::platform
