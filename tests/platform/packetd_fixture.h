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

/** lugfork-packetd as a process on loopback, and sockets of its clients and backends. */
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

/** UDP socket of a test; receives with a timeout of 1 s. */
class TestSocket {
 public:
  explicit TestSocket(std::uint32_t address = kLoopback, std::uint16_t port = 0)
      : socket_(::socket(AF_INET, SOCK_DGRAM, 0)) {
    const sockaddr_in name = toSockaddr({address, port});
    REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0);
    const timeval timeout{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
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

  /** @return a datagram and its sender; no bytes on timeout. */
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

/** A daemon process; killed in the destructor if it still runs. */
class Packetd {
 public:
  /** Settings of a daemon with peers. */
  struct PeerSettings {
    std::uint32_t address = kLoopback;
    /** Peer port, the same for all balancers; 0 for a daemon that follows no other. */
    std::uint16_t peer_port = 0;
    /** Listening address for client packets; unset for any free port. */
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

  /** Sets the path of the program for later starts. */
  void setProgram(const std::string& program) { program_ = program; }

  /** @param flags command-line flags in addition to the settings file. */
  void start(const std::vector<std::string>& flags = {}) { startWith(settings_file_, flags); }

  /**
   * Starts the daemon with another settings file. Returns once the child process has executed the
   * program.
   */
  void startWith(const std::string& settings_file, const std::vector<std::string>& flags = {}) {
    std::vector<const char*> arguments{program_.c_str(), "--settings", settings_file.c_str()};
    for (const std::string& flag : flags) {
      arguments.push_back(flag.c_str());
    }
    arguments.push_back(nullptr);
    std::array<int, 2> exec_pipe{};
    REQUIRE(::pipe2(exec_pipe.data(), O_CLOEXEC) == 0);
    const std::lock_guard lock(mutex_);
    pid_ = ::fork();
    if (pid_ == 0) {
      // Otherwise the test's own signal handlers would run, and be seen in /proc, before execv.
      for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        ::signal(number, SIG_DFL);
      }
      const int log = ::open(log_file_.c_str(), O_WRONLY | O_APPEND);
      ::dup2(log, STDOUT_FILENO);
      ::execv(program_.c_str(), const_cast<char* const*>(arguments.data()));
      _exit(127);
    }
    ::close(exec_pipe[1]);
    char none = 0;
    while (::read(exec_pipe[0], &none, 1) < 0 && errno == EINTR) {
    }
    ::close(exec_pipe[0]);
  }

  /**
   * @return true if the default action of a signal can't end the process: it blocks the signal or
   * has a handler, which holds from the start of the program, or it has already ended.
   */
  bool blocksOrHandles(int number) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    const std::uint64_t bit = std::uint64_t{1} << (number - 1);
    bool is_protected = false;
    for (std::string line; std::getline(status, line);) {
      const bool has_ended = line.starts_with("State:\tZ");
      const bool is_mask = line.starts_with("SigBlk:") || line.starts_with("SigCgt:");
      is_protected = is_protected || has_ended ||
                     (is_mask && (std::stoull(line.substr(7), nullptr, 16) & bit) != 0);
    }
    return is_protected;
  }

  /** Sends a signal unless the process has ended: pid_ is then 0, which means the test's group. */
  void signal(int number) const {
    const std::lock_guard lock(mutex_);
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }

  /** Waits for the end. @return the exit code, or the negated number of the fatal signal. */
  int wait() {
    siginfo_t ended{};
    ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOWAIT);
    const std::lock_guard lock(mutex_);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    return exitResult(status);
  }

  /** @return the same as wait(), or nothing while the process runs. */
  std::optional<int> tryWait() {
    const std::lock_guard lock(mutex_);
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) {
      return std::nullopt;
    }
    return exitResult(status);
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
    const auto deadline = Clock::now() + kWaitTimeout;
    while (Clock::now() < deadline) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  /** @return the peak resident memory of the running process [KB]; 0 if none is running. */
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
  int exitResult(int status) {
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

  /** Reserved for the lifetime of this object: the daemon may start later and more than once. */
  const ReservedPort ready_port_;
  const ReservedPort control_port_;
  const ReservedPort packet_port_;
  Endpoint ready_;
  Endpoint control_;
  Endpoint packet_;
  std::string program_ = LUGFORK_PACKETD;
  std::string settings_file_;
  std::string log_file_;
  /** Guards pid_: other threads send signals, which must not reach a process with a reused id. */
  mutable std::mutex mutex_;
  pid_t pid_ = 0;
};

}  // namespace lugfork::platform
