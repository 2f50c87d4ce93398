#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "runtime/http_client.h"
#include "runtime/peer_security.h"

/** A small fleet of processes on loopback for tests, started as an operator starts the programs. */
namespace lugfork::test {

using nlohmann::json;

/** Longest wait for an expected state; no check depends on how fast it is reached. */
inline constexpr auto kStateTimeout = std::chrono::seconds(60);
inline constexpr auto kPollInterval = std::chrono::milliseconds(50);

inline std::string readFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/** A started program; killed by the destructor if it is still running. */
class Process {
 public:
  Process(const std::vector<std::string>& command, const std::string& output_base)
      : output_file_(output_base + ".out") {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, 1, output_file_.c_str(), flags | O_TRUNC, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, (output_base + ".log").c_str(), flags, 0600);
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (const std::string& argument : command) {
      argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int status = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (status != 0) {
      throw std::runtime_error("can't start " + command[0]);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (!ended_) {
      signal(SIGKILL);
      signal(SIGCONT);
      wait();
    }
  }

  void signal(int number) const { ::kill(pid_, number); }

  /** Waits until the process ends. @return the exit code, or 128 plus the number of the signal. */
  int wait() {
    if (!ended_) {
      int status = 0;
      ::waitpid(pid_, &status, 0);
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      ended_ = true;
    }
    return exit_code_;
  }

  std::string output() const { return readFile(output_file_); }

 private:
  const std::string output_file_;
  pid_t pid_ = 0;
  bool ended_ = false;
  int exit_code_ = 0;
};

/**
 * Reserves a block of loopback ports: a listening socket on its first port prevents other runs of
 * these tests from using the block.
 */
class PortBlock {
 public:
  static constexpr int kSize = 100;

  PortBlock() {
    for (int base = 23000; base < 32000; base += kSize) {
      guard_socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(base));
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      const bool bound =
          ::bind(guard_socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
      if (bound && ::listen(guard_socket_, 1) == 0) {
        base_ = base;
        return;
      }
      ::close(guard_socket_);
    }
    throw std::runtime_error("no free block of loopback ports between 23000 and 32000");
  }
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;
  ~PortBlock() { ::close(guard_socket_); }

  Endpoint endpoint(int offset) const {
    return {INADDR_LOOPBACK, static_cast<std::uint16_t>(base_ + offset)};
  }
  std::string text(int offset) const { return toString(endpoint(offset)); }

 private:
  int guard_socket_ = -1;
  int base_ = 0;
};

/** Result of a client's run, as the client reported it. */
struct ClientReport {
  int exit_code = 0;
  json summary;
};

/** Platform, fabric, three balancers (CURVE keys, API token) in three zones, three listen-api and
 * two ingest backends. */
class Fleet {
 public:
  static constexpr int kBalancers = 3;
  static constexpr int kBackends = 5;
  static constexpr int kListenBackends = 3;

  Fleet() {
    std::string pattern = std::filesystem::temp_directory_path() / "lugfork-process-XXXXXX";
    directory_ = ::mkdtemp(pattern.data());
    document_ = makeDocument();
    writeFile("configuration.json", document_.dump());
    writeFile("machines.json", makeMachines().dump());
    start("platform",
          {program("lugfork-standin"), "platform", "--listen", ports_.text(kPlatform),
           "--configuration", file("configuration.json"), "--machines", file("machines.json")});
    waitFor("platform",
            [this] { return get(ports_.endpoint(kPlatform), "/v1/machines").is_object(); });
    for (int index = 0; index < kBackends; ++index) {
      startBackend(index);
    }
    for (int index = 0; index < kBalancers; ++index) {
      startBalancer(index);
    }
    for (int index = 0; index < kBalancers; ++index) {
      waitReady(index);
    }
    start("fabric", {program("lugfork-standin"), "fabric", "--listen", ports_.text(kFabric),
                     "--platform", ports_.text(kPlatform)});
    waitFor("fabric", [this] {
      return Process({program("lugforkctl"), "request", "--fabric", ports_.text(kFabric),
                      "--service", "10.20.0.1:443", "--service-id", "1"},
                     file("first-request"))
                 .wait() == 0;
    });
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet() {
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }

  Process& balancer(int index) { return *processes_.at("balancer-" + std::to_string(index)); }

  void startBalancer(int index) {
    std::vector<std::string> command = {program("lugforkd"),
                                        "--name",
                                        balancerName(index),
                                        "--zone",
                                        zoneName(index),
                                        "--data-address",
                                        ports_.text(kData + index),
                                        "--peer-address",
                                        ports_.text(kPeer + index),
                                        "--api-address",
                                        ports_.text(kApi + index),
                                        "--platform",
                                        ports_.text(kPlatform),
                                        "--platform-interval",
                                        "200",
                                        "--peer-public-key",
                                        keys_.public_key,
                                        "--peer-secret-key",
                                        keys_.secret_key,
                                        "--api-token",
                                        kToken};
    start("balancer-" + std::to_string(index), command);
  }

  /** Starts a balancer in place of one of the fleet, with keys that its peers don't trust. */
  void startUntrustedBalancer(int index) {
    const PeerKeyPair fleet_keys = std::exchange(keys_, makePeerKeyPair());
    startBalancer(index);
    keys_ = fleet_keys;
  }

  /** @return sum over all labels of a metric; 0 if there is no such metric. */
  double metric(int index, const std::string& name) const {
    HttpCall call;
    call.server = ports_.endpoint(kApi + index);
    call.target = "/metrics";
    call.bearer_token = kToken;
    const auto reply = httpRequest(call);
    std::istringstream lines(reply ? reply.value().body : "");
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
      if (line.starts_with(name + " ") || line.starts_with(name + "{")) {
        sum += std::stod(line.substr(line.rfind(' ') + 1));
      }
    }
    return sum;
  }

  void waitReady(int index) {
    waitFor(balancerName(index) + " ready", [this, index] {
      return get(ports_.endpoint(kApi + index), "/healthz").value("ready", false);
    });
  }

  json status(int index) const { return get(ports_.endpoint(kApi + index), "/v1/status"); }
  std::uint64_t versionInForce(int index) const {
    return status(index).value("version_in_force", std::uint64_t{0});
  }

  /** Sets the platform's test switches, for example {"outage": true}. */
  void controlPlatform(const json& switches) const {
    HttpCall call;
    call.method = "POST";
    call.server = ports_.endpoint(kPlatform);
    call.target = "/control";
    call.body = switches.dump();
    httpRequest(call).value();
  }

  /** The configuration document; to be changed and then published by publish(). */
  json& document() { return document_; }

  /** Publishes the document as the next version and waits until it is in force on all nodes. */
  int publish() {
    document_["version"] = document_["version"].get<std::uint64_t>() + 1;
    writeFile("next.json", document_.dump());
    std::vector<std::string> command = {program("lugforkctl"),
                                        "apply",
                                        "-f",
                                        file("next.json"),
                                        "--platform",
                                        ports_.text(kPlatform),
                                        "--wait",
                                        "--wait-limit",
                                        "60000",
                                        "--api-token",
                                        kToken,
                                        "--node"};
    for (int index = 0; index < kBalancers; ++index) {
      command.push_back(ports_.text(kApi + index));
    }
    return Process(command, file("apply")).wait();
  }

  /** Runs lugforkctl. @return the exit code; its output is in controlOutput() and controlErrors().
   */
  int control(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), program("lugforkctl"));
    std::filesystem::remove(file("control.log"));
    Process process(arguments, file("control"));
    const int exit_code = process.wait();
    control_output_ = process.output();
    control_errors_ = readFile(file("control.log"));
    return exit_code;
  }
  const std::string& controlOutput() const { return control_output_; }
  const std::string& controlErrors() const { return control_errors_; }

  /** Writes the document with the given version. @return the file's path. */
  std::string writeDocument(const std::string& name, int version) const {
    json document = document_;
    document["version"] = version;
    writeFile(name, document.dump());
    return file(name);
  }

  /** Starts clients of listen-api (streams) or ingest (uploads). */
  std::unique_ptr<Process> startStreams(int calls, int pieces) {
    return startClient("streams", "10.20.0.1:443", "1",
                       {"--kind", "stream", "--calls", std::to_string(calls), "--answer-pieces",
                        std::to_string(pieces), "--answer-interval", "100", "--work", "5"});
  }
  std::unique_ptr<Process> startUploads(int calls, int spacing_ms) {
    return startClient("uploads", "10.20.0.2:443", "2",
                       {"--kind", "upload", "--calls", std::to_string(calls), "--spacing",
                        std::to_string(spacing_ms), "--request-pieces", "50", "--work", "20"});
  }

  std::unique_ptr<Process> startPreChecks(int calls, int spacing_ms) {
    return startClient("prechecks", "10.20.0.1:443", "1",
                       {"--kind", "precheck", "--calls", std::to_string(calls), "--spacing",
                        std::to_string(spacing_ms), "--work", "5"});
  }

  static ClientReport finish(Process& client) {
    ClientReport report;
    report.exit_code = client.wait();
    report.summary = json::parse(client.output(), nullptr, false);
    return report;
  }

  /** @return requests that a backend started, as it recorded them. */
  json runs(int index) const { return get(ports_.endpoint(kProbe + index), "/runs"); }

  /** @return the balancers that forwarded each flow's datagrams, as the backend recorded them. */
  json flows(int index) const { return get(ports_.endpoint(kProbe + index), "/flows"); }

  /** Waits until a state is reached; throws with the fleet's logs after kStateTimeout. */
  void waitFor(const std::string& what, const std::function<bool()>& is_reached) const {
    const auto deadline = std::chrono::steady_clock::now() + kStateTimeout;
    while (!is_reached()) {
      if (std::chrono::steady_clock::now() > deadline) {
        throw std::runtime_error("timed out waiting for: " + what + "\n" + logs());
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  /** @return the end of each process's log. */
  std::string logs() const {
    std::string text;
    for (const auto& entry : std::filesystem::directory_iterator(directory_)) {
      if (entry.path().extension() != ".log") {
        continue;
      }
      std::ifstream log(entry.path());
      std::string content{std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>()};
      constexpr std::size_t kMaxBytes = 1500;
      text += "--- " + entry.path().filename().string() + "\n" +
              content.substr(content.size() > kMaxBytes ? content.size() - kMaxBytes : 0);
    }
    return text;
  }

  const PortBlock& ports() const { return ports_; }
  static constexpr const char* kToken = "process-test-token";
  static constexpr int kPlatform = 1;
  static constexpr int kFabric = 2;
  static constexpr int kData = 10;
  static constexpr int kPeer = 20;
  static constexpr int kApi = 30;
  static constexpr int kBackendData = 40;
  static constexpr int kProbe = 60;

 private:
  static std::string zoneName(int index) {
    static const std::vector<std::string> kNames = {"charguia", "lac", "ariana"};
    return kNames[static_cast<std::size_t>(index) % kNames.size()];
  }
  static std::string balancerName(int index) { return zoneName(index) + "-balancer"; }
  /** The programs are in the folder of the test program. */
  static std::string program(const std::string& name) {
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
  }
  std::string file(const std::string& name) const { return directory_ + "/" + name; }
  void writeFile(const std::string& name, const std::string& text) const {
    std::ofstream(file(name)) << text;
  }

  void start(const std::string& name, const std::vector<std::string>& command) {
    processes_.erase(name);
    processes_[name] = std::make_unique<Process>(command, file(name));
  }

  void startBackend(int index) {
    const std::string id = std::to_string(index + 1);
    start("backend-" + id,
          {program("lugfork-standin"), "backend", "--id", id, "--service",
           index < kListenBackends ? "1" : "2", "--listen", ports_.text(kBackendData + index),
           "--probe-address", ports_.text(kProbe + index)});
  }

  std::unique_ptr<Process> startClient(const std::string& name, const std::string& service,
                                       const std::string& service_id,
                                       const std::vector<std::string>& options) const {
    std::vector<std::string> command = {program("lugfork-standin"),
                                        "caller",
                                        "--fabric",
                                        ports_.text(kFabric),
                                        "--service",
                                        service,
                                        "--service-id",
                                        service_id};
    command.insert(command.end(), options.begin(), options.end());
    return std::make_unique<Process>(command, file(name));
  }

  /** @return the JSON document at a path, or an empty object if there is none. */
  static json get(Endpoint server, const std::string& path) {
    HttpCall call;
    call.server = server;
    call.target = path;
    call.bearer_token = kToken;
    const auto reply = httpRequest(call);
    const json body = reply ? json::parse(reply.value().body, nullptr, false) : json();
    return body.is_structured() ? body : json::object();
  }

  json makeDocument() const {
    const std::string source = std::string(LUGFORK_SOURCE_DIR) + "/examples/radio/";
    std::ifstream example(source + "configuration.json");
    json document = json::parse(example);
    json backends = json::array();
    for (int index = 0; index < kBackends; ++index) {
      const bool listen = index < kListenBackends;
      backends.push_back(
          {{"id", index + 1},
           {"name", listen ? "listen-api-" + std::to_string(index + 1)
                           : "ingest-" + std::to_string(index + 1 - kListenBackends)},
           {"service", listen ? "listen-api" : "ingest"},
           {"zone", zoneName(index)},
           {"address", ports_.text(kBackendData + index)},
           {"probe_address", ports_.text(kProbe + index)},
           {"slots", 2},
           {"connections", 2000},
           {"draining", false}});
    }
    document["backends"] = backends;
    return document;
  }

  json makeMachines() const {
    json machines = json::array();
    for (int index = 0; index < kBalancers; ++index) {
      machines.push_back({{"name", balancerName(index)},
                          {"zone", zoneName(index)},
                          {"state", "live"},
                          {"data_address", ports_.text(kData + index)},
                          {"peer_address", ports_.text(kPeer + index)},
                          {"api_address", ports_.text(kApi + index)}});
    }
    return {{"machines", machines}};
  }

  PortBlock ports_;
  PeerKeyPair keys_ = makePeerKeyPair();
  std::string directory_;
  json document_;
  std::string control_output_;
  std::string control_errors_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
};

}  // namespace lugfork::test
