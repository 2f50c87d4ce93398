/** The first milliseconds of lugfork-packetd: signals and the order of its start. */

#include <fcntl.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "platform/packetd_fixture.h"

namespace lugfork::platform {
namespace {

/** Settings file that a daemon waits for: a pipe with a name. */
class BlockingSettingsFile {
 public:
  BlockingSettingsFile() : path_(temporaryFile("")) {
    std::remove(path_.c_str());
    REQUIRE(::mkfifo(path_.c_str(), 0600) == 0);
  }
  ~BlockingSettingsFile() { std::remove(path_.c_str()); }
  BlockingSettingsFile(const BlockingSettingsFile&) = delete;
  BlockingSettingsFile& operator=(const BlockingSettingsFile&) = delete;

  /** Waits until a daemon's main() reads the file. */
  void waitForReader() { writer_ = ::open(path_.c_str(), O_WRONLY); }

  void give(const std::string& text) {
    const auto size = ::write(writer_, text.data(), text.size());
    CHECK(size == static_cast<ssize_t>(text.size()));
    ::close(writer_);
  }

  /** From now on who opens the file finds a usual one. */
  void replaceBy(const std::string& text) const {
    const std::string usual = temporaryFile(text);
    CHECK(std::rename(usual.c_str(), path_.c_str()) == 0);
  }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
  int writer_ = -1;
};

std::string textOf(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

TEST_CASE("a daemon told to stop while it starts ends with its planned stop", "[packetd]") {
  FakeStore store;
  store.put("op/config", R"({"version":7,"routes":[]})");
  const int signal = GENERATE(SIGTERM, SIGINT);
  Packetd daemon(store.address());
  const std::string settings = textOf(daemon.settingsFile());
  BlockingSettingsFile held;
  daemon.startWith(held.path());
  held.waitForReader();
  daemon.signal(signal);
  held.give(settings);
  CHECK(daemon.wait() == 0);
  const std::string log = daemon.log();
  CHECK(log.find("\"event\":\"leaving\"") != std::string::npos);
  CHECK(log.find("\"event\":\"stopped\"") != std::string::npos);
}

TEST_CASE("settings read again while a daemon starts do not end it", "[packetd]") {
  FakeStore store;
  store.put("op/config", R"({"version":7,"routes":[]})");
  Packetd daemon(store.address());
  const std::string settings = textOf(daemon.settingsFile());
  BlockingSettingsFile held;
  daemon.startWith(held.path());
  held.waitForReader();
  daemon.signal(SIGHUP);
  held.replaceBy(settings);
  held.give(settings);
  CHECK(daemon.waitForReady(200));
  CHECK(Packetd::eventually(
      [&] { return daemon.log().find("\"event\":\"reloaded\"") != std::string::npos; }));
}

TEST_CASE("daemons told to stop at any moment of main() end with their planned stop", "[packetd]") {
  FakeStore store;
  store.put("op/config", R"({"version":7,"routes":[]})");
  constexpr int kDaemons = 12;
  constexpr std::chrono::microseconds kStep{400};
  for (int index = 0; index < kDaemons; ++index) {
    Packetd daemon(store.address());
    const std::string settings = textOf(daemon.settingsFile());
    BlockingSettingsFile held;
    daemon.startWith(held.path());
    held.waitForReader();
    held.give(settings);
    std::this_thread::sleep_for(index * kStep);
    daemon.signal(SIGTERM);
    INFO("after " << index * kStep.count() << " us");
    CHECK(daemon.wait() == 0);
    CHECK(daemon.log().find("\"event\":\"stopped\"") != std::string::npos);
  }
}

TEST_CASE("the log's lines are whole and of one form before and after its appender is loaded",
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

TEST_CASE("a daemon whose appender is missing says so and logs on", "[packetd]") {
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

TEST_CASE("the metrics tell processor time and the time until the first packet", "[packetd]") {
  FakeStore store;
  TestSocket server;
  store.put(
      "op/config",
      R"({"version":7,"routes":[{"host":"198.18.0.1","path_prefix":"/443/","service":"s"}]})");
  store.put(
      "servers/i-0badcafe01",
      R"({"service":"s","address":")" + toString(server.address()) +
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
  CHECK_FALSE(server.receive().empty());
  CHECK(daemon.waitForMetric(first_packet));
}

}  // namespace
}  // namespace lugfork::platform
