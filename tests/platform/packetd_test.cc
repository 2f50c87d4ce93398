/** lugfork-packetd as a process on loopback, with a fake store. */

#include <catch2/catch.hpp>

#include "platform/packetd_fixture.h"

namespace lugfork::platform {
namespace {

const std::string kRoutes =
    R"({"version":7,"routes":[{"host":"198.18.0.1","path_prefix":"/443/","service":"s"}]})";

std::string backendEntry(Endpoint address, const std::string& state = "ready",
                         const std::string& zone = "lac") {
  return R"({"service":"s","address":")" + toString(address) + R"(","zone":")" + zone +
         R"(","version":"v1","capacity":2,"state":")" + state + R"(","warmup_left_ms":0,"seq":1})";
}

/** @return the opening packet of a flow from 127.0.0.1 to a port of 198.18.0.1. */
Bytes makeOpening(std::uint16_t client_port, std::uint16_t service_port = 443) {
  return {0,
          0,
          0,
          0,
          0,
          0,
          127,
          0,
          0,
          1,
          static_cast<std::uint8_t>(service_port >> 8),
          static_cast<std::uint8_t>(service_port & 0xff),
          0xc6,
          0x12,
          0,
          1,
          static_cast<std::uint8_t>(client_port >> 8),
          static_cast<std::uint8_t>(client_port & 0xff),
          0x11,
          0x22,
          0x33,
          0x44,
          0,
          0,
          0,
          0,
          4,
          0,
          0xa1,
          0xb2,
          0xc3,
          0xd5};
}

constexpr std::size_t kIdPrefixBytes = 8;
constexpr std::size_t kFlagsOffset = 26;

TEST_CASE("packets of a flow are forwarded to the backend in its token", "[packetd]") {
  FakeStore store;
  TestSocket backend;
  Packetd daemon(store.address());
  daemon.start();
  TestSocket client;
  // Arrives before the node has a view, and is queued in the socket.
  CHECK(Packetd::eventually([&] { return daemon.readyStatus() == 503; }));
  client.send(daemon.packetAddress(), makeOpening(40001));
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", backendEntry(backend.address()));
  REQUIRE(daemon.waitForReady(200));
  Bytes first = backend.receive();
  if (first.empty()) {
    // The route may have arrived before the backend: the client retransmits.
    client.send(daemon.packetAddress(), makeOpening(40001));
    first = backend.receive();
  }
  REQUIRE(first.size() == kIdPrefixBytes + 32);
  CHECK(Bytes(first.begin(), first.begin() + 8) == Bytes{0, 0, 0, 0x0b, 0xad, 0xca, 0xfe, 0x01});

  Bytes data(first.begin() + kIdPrefixBytes, first.end());
  data[kFlagsOffset] = 2;
  client.send(daemon.packetAddress(), data);
  Bytes expected = first;
  std::copy(data.begin(), data.end(), expected.begin() + kIdPrefixBytes);
  CHECK(backend.receive() == expected);
}

/** @return a data packet of the flow of a forwarded opening. */
Bytes makeData(const Bytes& forwarded) {
  Bytes data(forwarded.begin() + kIdPrefixBytes, forwarded.end());
  data[kFlagsOffset] = 2;
  return data;
}

TEST_CASE("a packet of an open flow is not queued behind openings", "[packetd]") {
  constexpr int kOpeningCount = 300;
  FakeStore store;
  TestSocket backend;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", backendEntry(backend.address()));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  TestSocket client;
  client.send(daemon.packetAddress(), makeOpening(40001));
  const Bytes first = backend.receive();
  REQUIRE(first.size() == kIdPrefixBytes + 32);
  daemon.signal(SIGSTOP);
  for (int count = 0; count < kOpeningCount; ++count) {
    client.send(daemon.packetAddress(), makeOpening(static_cast<std::uint16_t>(41000 + count)));
  }
  client.send(daemon.packetAddress(), makeData(first));
  daemon.signal(SIGCONT);
  int openings_ahead = 0;
  Bytes next = backend.receive();
  while (next.size() == kIdPrefixBytes + 32 && next[kIdPrefixBytes + kFlagsOffset] != 2) {
    ++openings_ahead;
    next = backend.receive();
  }
  REQUIRE(next.size() == kIdPrefixBytes + 32);
  // The first packet after a pause is read alone. Then each full batch has two openings at most.
  CHECK(openings_ahead <= 1 + 2 * ((kOpeningCount - 1) / 32));
}

TEST_CASE("an opening that is queued until its client has retransmitted is dropped", "[packetd]") {
  FakeStore store;
  TestSocket backend;
  Packetd daemon(store.address());
  daemon.start();
  TestSocket client;
  REQUIRE(Packetd::eventually([&] { return daemon.readyStatus() == 503; }));
  client.send(daemon.packetAddress(), makeOpening(40001));
  // The daemon has read the opening, but has no view.
  REQUIRE(daemon.waitForMetric("lugfork_packets_received_total 1"));
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  store.put("servers/i-0badcafe01", backendEntry(backend.address()));
  store.put("op/config", kRoutes);
  REQUIRE(daemon.waitForReady(200));
  client.send(daemon.packetAddress(), makeOpening(40002));
  const Bytes served = backend.receive();
  REQUIRE(served.size() == kIdPrefixBytes + 32);
  CHECK(served[kIdPrefixBytes + 16] == 40002 >> 8);
  CHECK(served[kIdPrefixBytes + 17] == (40002 & 0xff));
  CHECK(daemon.waitForMetric(R"(lugfork_packets_dropped_total{cause="opening_outlived"} 1)"));
}

TEST_CASE("a zone out of service gets no new flows and keeps its open ones", "[packetd]") {
  FakeStore store;
  TestSocket in_lac;
  TestSocket in_ariana;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", backendEntry(in_lac.address(), "ready", "lac"));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  TestSocket client;
  client.send(daemon.packetAddress(), makeOpening(40001));
  const Bytes first = in_lac.receive();
  REQUIRE(first.size() == kIdPrefixBytes + 32);

  store.put("servers/i-0badcafe02", backendEntry(in_ariana.address(), "ready", "ariana"));
  store.put("op/evacuate/lac", "{}");
  REQUIRE(daemon.waitForMetric("lugfork_zones_out_of_service 1"));
  constexpr std::uint16_t kOpeningCount = 20;
  for (std::uint16_t port = 41000; port < 41000 + kOpeningCount; ++port) {
    client.send(daemon.packetAddress(), makeOpening(port));
  }
  for (int count = 0; count < kOpeningCount; ++count) {
    CHECK(in_ariana.receive().size() == kIdPrefixBytes + 32);
  }
  CHECK(
      daemon.waitForMetric(R"(lugfork_flows_placed_total{cause="none",service="s",zone="own"} 1)"));
  CHECK(daemon.waitForMetric(
      R"(lugfork_flows_placed_total{cause="capacity",service="s",zone="beyond"} 20)"));
  Bytes data(first.begin() + kIdPrefixBytes, first.end());
  data[kFlagsOffset] = 2;
  client.send(daemon.packetAddress(), data);
  const Bytes next_in_lac = in_lac.receive();
  REQUIRE(next_in_lac.size() == kIdPrefixBytes + 32);
  CHECK(next_in_lac[kIdPrefixBytes + kFlagsOffset] == 2);

  store.remove("op/evacuate/lac");
  CHECK(daemon.waitForMetric("lugfork_zones_out_of_service 0"));
}

TEST_CASE("invalid input is counted and has no other effect", "[packetd]") {
  FakeStore store;
  TestSocket backend;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", backendEntry(backend.address()));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  TestSocket client;
  Bytes wrong_length = makeOpening(1);
  wrong_length[1] = 9;
  Bytes unknown_flags = makeOpening(1);
  unknown_flags[kFlagsOffset] = 5;
  Bytes foreign_token = makeOpening(1);
  foreign_token[kFlagsOffset] = 2;
  client.send(daemon.packetAddress(), {1, 2, 3});
  client.send(daemon.packetAddress(), wrong_length);
  client.send(daemon.packetAddress(), unknown_flags);
  client.send(daemon.packetAddress(), foreign_token);
  store.put("op/config", "garbage");
  store.put("servers/i-0badcafe02", "{}");
  store.put("servers/nothex!", backendEntry(backend.address()));
  CHECK(daemon.waitForMetric(R"(lugfork_packets_dropped_total{cause="too_short"} 1)"));
  CHECK(daemon.waitForMetric(R"(lugfork_packets_dropped_total{cause="wrong_length"} 1)"));
  CHECK(daemon.waitForMetric(R"(lugfork_packets_dropped_total{cause="unknown_flags"} 1)"));
  CHECK(daemon.waitForMetric(R"(lugfork_packets_dropped_total{cause="unknown_backend"} 1)"));
  const std::string invalid = "lugfork_platform_records_invalid_total";
  CHECK(daemon.waitForMetric(invalid +
                             R"({cause="the configuration is no JSON of the expected form"} 1)"));
  CHECK(daemon.waitForMetric(invalid + R"({cause="service: missing"} 1)"));
  CHECK(daemon.waitForMetric(invalid + R"({cause="id: not hexadecimal"} 1)"));
  CHECK(daemon.waitForMetric("lugfork_routes_version 7"));
  client.send(daemon.packetAddress(), makeOpening(40002));
  CHECK(backend.receive().size() == kIdPrefixBytes + 32);
}

TEST_CASE("a failed response of the store removes nothing from the view", "[packetd]") {
  FakeStore store;
  TestSocket backend;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", backendEntry(backend.address()));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  const auto [cause, status] = GENERATE(std::pair<std::string, int>("throttled", 429),
                                        std::pair<std::string, int>("unavailable", 503),
                                        std::pair<std::string, int>("not_found", 404),
                                        std::pair<std::string, int>("malformed", 500),
                                        std::pair<std::string, int>("malformed", 200),
                                        std::pair<std::string, int>("history_gone", 410));
  if (status == 410) {
    store.put("servers/i-0badcafe09", backendEntry(backend.address()));
    store.remove("servers/i-0badcafe09");
    store.compactHistory();
  }
  store.truncateResponses(status == 200);
  store.failWith(status == 410 ? 200 : status);
  store.put("servers/i-0badcafe03", backendEntry({kLoopback, 9}, "draining"));
  if (status != 410) {
    CHECK(Packetd::eventually([&, cause = cause] {
      const std::string name = "lugfork_platform_errors_total{cause=\"" + cause + "\"} ";
      const std::string text = daemon.metrics();
      const auto at = text.find(name);
      return at != std::string::npos && text[at + name.size()] != '0';
    }));
  }
  TestSocket client;
  client.send(daemon.packetAddress(), makeOpening(40003));
  CHECK(backend.receive().size() == kIdPrefixBytes + 32);

  store.truncateResponses(false);
  store.failWith(200);
  store.put("op/config", R"({"version":8,"routes":[]})");
  CHECK(daemon.waitForMetric("lugfork_routes_version 8"));
}

TEST_CASE("a node that can't read the store gets the view of a peer", "[packetd]") {
  FakeStore store;
  TestSocket backend;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", backendEntry(backend.address()));
  const ReservedPort peer_port;
  Packetd first(store.address(), {}, {kLoopback, peer_port.number()});
  first.start();
  REQUIRE(first.waitForReady(200));
  FakeStore failing_store;
  failing_store.failWith(503);
  Packetd second(failing_store.address(), {first.controlAddress()},
                 {kLoopback + 1, peer_port.number()});
  second.start();
  REQUIRE(second.waitForReady(200));
  TestSocket client;
  client.send(second.packetAddress(), makeOpening(40004));
  CHECK(backend.receive().size() == kIdPrefixBytes + 32);
  store.put("op/config", R"({"version":9,"routes":[]})");
  CHECK(second.waitForMetric("lugfork_routes_version 9"));
  CHECK(second.log().find("\"origin\":\"balancer\"") != std::string::npos);
  // No further calls are made to the store while a peer has a fresh view.
  CHECK(failing_store.calls() <= 2);
}

TEST_CASE("one of two balancers follows the other, and the store again after that one has died",
          "[packetd]") {
  FakeStore store;
  store.put("op/config", kRoutes);
  const ReservedPort peer_port;
  Packetd first(store.address(), {}, {kLoopback, peer_port.number()});
  Packetd second(store.address(), {first.controlAddress()}, {kLoopback + 1, peer_port.number()});
  first.start();
  second.start();
  // HELP and TYPE lines contain the name, too, but not at the start of a line.
  const std::string following = "\nlugfork_upstream{kind=\"balancer\"} 1";
  const auto follows = [&](const Packetd& daemon) {
    return daemon.metrics().find(following) != std::string::npos;
  };
  REQUIRE(Packetd::eventually([&] { return follows(first) || follows(second); }));
  const bool first_follows = follows(first);
  Packetd& follower = first_follows ? first : second;
  Packetd& upstream = first_follows ? second : first;
  CHECK_FALSE(follows(upstream));
  store.put("op/config", R"({"version":8,"routes":[]})");
  CHECK(follower.waitForMetric("lugfork_routes_version 8"));
  CHECK(follower.waitForMetric("\nlugfork_upstream_polls_with_changes_total 1"));

  upstream.signal(SIGKILL);
  upstream.wait();
  CHECK(follower.waitForMetric("\nlugfork_upstream{kind=\"balancer\"} 0"));
  store.put("op/config", R"({"version":9,"routes":[]})");
  CHECK(follower.waitForMetric("lugfork_routes_version 9"));
}

TEST_CASE("a planned stop makes the node unready, exits with 0 and logs each step", "[packetd]") {
  FakeStore store;
  store.put("op/config", kRoutes);
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  daemon.signal(SIGTERM);
  CHECK(daemon.waitForReady(503));
  CHECK(daemon.wait() == 0);
  const std::string log = daemon.log();
  for (const char* event : {"started", "view_complete", "routes_in_force", "leaving", "stopped"}) {
    CHECK(log.find("\"event\":\"" + std::string(event) + "\"") != std::string::npos);
  }
}

TEST_CASE("SIGHUP reloads the settings, and rejects invalid ones", "[packetd]") {
  FakeStore store;
  store.put("op/config", kRoutes);
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  daemon.signal(SIGHUP);
  CHECK(Packetd::eventually(
      [&] { return daemon.log().find("\"event\":\"reloaded\"") != std::string::npos; }));
  std::ofstream(daemon.settingsFile(), std::ios::app) << "log-level = \"loud\"\n";
  daemon.signal(SIGHUP);
  CHECK(Packetd::eventually(
      [&] { return daemon.log().find("\"event\":\"reload_refused\"") != std::string::npos; }));
  CHECK(daemon.readyStatus() == 200);
}

/** @return the exit code and the output of the program. */
std::pair<int, std::string> runProgram(const std::string& arguments) {
  const std::string command = std::string(LUGFORK_PACKETD) + " " + arguments + " 2>&1";
  FILE* output = popen(command.c_str(), "r");
  std::string text;
  std::array<char, 512> chunk{};
  while (std::fgets(chunk.data(), chunk.size(), output) != nullptr) {
    text += chunk.data();
  }
  return {WEXITSTATUS(pclose(output)), text};
}

TEST_CASE("invalid locality settings are rejected", "[packetd]") {
  struct Row {
    const char* setting;
    const char* expected_text;
  };
  const Row rows[] = {
      {"locality = \"nearest\"", "adaptive"},
      {"locality-headroom = 0.5", "locality-headroom"},
      {"locality-late-from = 1.1", "locality-late-from"},
      {"local-weight = 1000.0", "local-weight"},
  };
  for (const Row& row : rows) {
    INFO(row.setting);
    const std::string file = temporaryFile(std::string(row.setting) + "\n");
    const auto [code, text] = runProgram("--settings " + file);
    CHECK(code == 2);
    CHECK(text.find(row.expected_text) != std::string::npos);
    std::remove(file.c_str());
  }
}

TEST_CASE("command line: --version, --help and errors in the settings file", "[packetd]") {
  CHECK(runProgram("--version").first == 0);
  const auto [help_code, help] = runProgram("--help");
  CHECK(help_code == 0);
  CHECK(help.find("--token-key") != std::string::npos);

  const std::string file = temporaryFile("name = \"n\"\nzone = \"z\"\nstore = \"nowhere\"\n");
  const auto [code, text] = runProgram("--settings " + file);
  CHECK(code == 2);
  CHECK(text.find(file) != std::string::npos);
  CHECK(text.find("store") != std::string::npos);
  CHECK(text.find("a.b.c.d:port") != std::string::npos);
  std::remove(file.c_str());
}

}  // namespace
}  // namespace lugfork::platform
