/** Start of lugfork-packetd: signals in its first milliseconds, order of its initialization. */

#include <fcntl.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "platform/packetd_fixture.h"

namespace lugfork::platform {
namespace {

/** Settings file on which a daemon blocks while reading: a named pipe. */
class BlockingSettingsFile {
 public:
  BlockingSettingsFile() : path_(temporaryFile("")) {
    std::remove(path_.c_str());
    REQUIRE(::mkfifo(path_.c_str(), 0600) == 0);
  }
  ~BlockingSettingsFile() { std::remove(path_.c_str()); }
  BlockingSettingsFile(const BlockingSettingsFile&) = delete;
  BlockingSettingsFile& operator=(const BlockingSettingsFile&) = delete;

  /** Waits until main() of a daemon opens the file. */
  void waitForReader() { writer_ = ::open(path_.c_str(), O_WRONLY); }

  void write(const std::string& text) {
    const auto size = ::write(writer_, text.data(), text.size());
    CHECK(size == static_cast<ssize_t>(text.size()));
    ::close(writer_);
  }

  /** Replaces the pipe by a regular file, which later opens find. */
  void replaceWith(const std::string& text) const {
    const std::string regular_file = temporaryFile(text);
    CHECK(std::rename(regular_file.c_str(), path_.c_str()) == 0);
  }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
  int writer_ = -1;
};

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

TEST_CASE("a daemon that gets a stop signal during its start ends with a planned stop",
          "[packetd]") {
  FakeStore store;
  store.put("op/config", R"({"version":7,"routes":[]})");
  const int signal = GENERATE(SIGTERM, SIGINT);
  Packetd daemon(store.address());
  const std::string settings = readFile(daemon.settingsFile());
  BlockingSettingsFile blocking_file;
  daemon.startWith(blocking_file.path());
  blocking_file.waitForReader();
  daemon.signal(signal);
  blocking_file.write(settings);
  CHECK(daemon.wait() == 0);
  const std::string log = daemon.log();
  CHECK(log.find("\"event\":\"leaving\"") != std::string::npos);
  CHECK(log.find("\"event\":\"stopped\"") != std::string::npos);
}

TEST_CASE("SIGHUP during the start of a daemon reloads the settings and doesn't end it",
          "[packetd]") {
  FakeStore store;
  store.put("op/config", R"({"version":7,"routes":[]})");
  Packetd daemon(store.address());
  const std::string settings = readFile(daemon.settingsFile());
  BlockingSettingsFile blocking_file;
  daemon.startWith(blocking_file.path());
  blocking_file.waitForReader();
  daemon.signal(SIGHUP);
  blocking_file.replaceWith(settings);
  blocking_file.write(settings);
  CHECK(daemon.waitForReady(200));
  CHECK(Packetd::eventually(
      [&] { return daemon.log().find("\"event\":\"reloaded\"") != std::string::npos; }));
}

TEST_CASE("a daemon that gets SIGTERM at any point of main() ends with a planned stop",
          "[packetd]") {
  FakeStore store;
  store.put("op/config", R"({"version":7,"routes":[]})");
  constexpr int kDaemons = 12;
  constexpr std::chrono::microseconds kStep{400};
  for (int index = 0; index < kDaemons; ++index) {
    Packetd daemon(store.address());
    const std::string settings = readFile(daemon.settingsFile());
    BlockingSettingsFile blocking_file;
    daemon.startWith(blocking_file.path());
    blocking_file.waitForReader();
    blocking_file.write(settings);
    std::this_thread::sleep_for(index * kStep);
    daemon.signal(SIGTERM);
    INFO("after " << index * kStep.count() << " us");
    CHECK(daemon.wait() == 0);
    CHECK(daemon.log().find("\"event\":\"stopped\"") != std::string::npos);
  }
}

TEST_CASE("log lines are complete and have the same format before and after the appender is loaded",
          "[packetd]") {
  FakeStore store;
  Packetd daemon(store.address());
  std::ofstream(daemon.settingsFile(), std::ios::app)
      << "log-level = \"debug\"\nlog-appender-delay = 200\n";
  daemon.start();
  REQUIRE(Packetd::eventually(
      [&] { return daemon.log().find("log_appender_loaded") != std::string::npos; }));
  daemon.signal(SIGTERM);
  REQUIRE(daemon.wait() == 0);
  std::istringstream lines(daemon.log());
  int count = 0;
  for (std::string line; std::getline(lines, line); ++count) {
    INFO(line);
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    REQUIRE(parsed.is_object());
    CHECK(line.starts_with("{\"time\":\""));
    CHECK(parsed["node"] == "n");
  }
  CHECK(count > 2);
}

TEST_CASE("a daemon without its log appender reports that and continues to log", "[packetd]") {
  FakeStore store;
  Packetd daemon(store.address());
  std::ofstream(daemon.settingsFile(), std::ios::app) << "log-appender-delay = 0\n";
  std::string folder = "/tmp/lugfork-packetd-XXXXXX";
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const std::string program = folder + "/lugfork-packetd";
  std::filesystem::copy_file(LUGFORK_PACKETD, program);
  daemon.setProgram(program);
  daemon.start();
  CHECK(Packetd::eventually(
      [&] { return daemon.log().find("log_appender_missing") != std::string::npos; }));
  daemon.signal(SIGTERM);
  CHECK(daemon.wait() == 0);
  CHECK(daemon.log().find("\"event\":\"stopped\"") != std::string::npos);
  std::filesystem::remove_all(folder);
}

TEST_CASE("metrics include CPU time and the time until the first packet", "[packetd]") {
  FakeStore store;
  TestSocket backend;
  store.put(
      "op/config",
      R"({"version":7,"routes":[{"host":"198.18.0.1","path_prefix":"/443/","service":"s"}]})");
  store.put(
      "servers/i-0badcafe01",
      R"({"service":"s","address":")" + toString(backend.address()) +
          R"(","zone":"lac","version":"v1","capacity":2,"state":"ready","warmup_left_ms":0,"seq":1})");
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  const std::string first_packet = "\nlugfork_start_to_first_packet_seconds ";
  CHECK(daemon.waitForMetric("\nlugfork_processor_seconds_total 0."));
  CHECK(daemon.metrics().find(first_packet) == std::string::npos);
  TestSocket client;
  client.send(daemon.packetAddress(),
              {0,    0,    0,    0,    0,    0,    127, 0, 0, 1, 1, 0xbb, 0xc6, 0x12, 0,    1,
               0x9c, 0x41, 0x11, 0x22, 0x33, 0x44, 0,   0, 0, 0, 4, 0,    0xa1, 0xb2, 0xc3, 0xd5});
  CHECK_FALSE(backend.receive().empty());
  CHECK(daemon.waitForMetric(first_packet));
}

}  // namespace
}  // namespace lugfork::platform
