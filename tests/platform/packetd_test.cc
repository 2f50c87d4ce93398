/** lugfork-packetd as a process, against a stand-in of the store, on loopback. */

#include <catch2/catch.hpp>

#include "platform/packetd_fixture.h"

namespace lugfork::platform {
namespace {

const std::string kRoutes =
    R"({"version":7,"routes":[{"host":"198.18.0.1","path_prefix":"/443/","service":"s"}]})";

std::string serverEntry(Endpoint address, const std::string& state = "ready",
                        const std::string& zone = "lac") {
  return R"({"service":"s","address":")" + toString(address) + R"(","zone":")" + zone +
         R"(","version":"v1","capacity":2,"state":")" + state + R"(","warmup_left_ms":0,"seq":1})";
}

/** The opening of a flow from 127.0.0.1 to a port of 198.18.0.1. */
Bytes opening(std::uint16_t caller_port, std::uint16_t service_port = 443) {
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
          static_cast<std::uint8_t>(caller_port >> 8),
          static_cast<std::uint8_t>(caller_port & 0xff),
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

constexpr std::size_t kPrefixBytes = 8;
constexpr std::size_t kFlagsAt = 26;

TEST_CASE("a flow goes to its server, with the token that the server got", "[packetd]") {
  FakeStore store;
  TestSocket server;
  Packetd daemon(store.address());
  daemon.start();
  TestSocket client;
  // Comes before the node knows anything; it waits in the socket.
  CHECK(Packetd::eventually([&] { return daemon.readyStatus() == 503; }));
  client.send(daemon.packetAddress(), opening(40001));
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", serverEntry(server.address()));
  REQUIRE(daemon.waitForReady(200));
  Bytes first = server.receive();
  if (first.empty()) {
    // The route may have come before the server: the client sends a copy.
    client.send(daemon.packetAddress(), opening(40001));
    first = server.receive();
  }
  REQUIRE(first.size() == kPrefixBytes + 32);
  CHECK(Bytes(first.begin(), first.begin() + 8) == Bytes{0, 0, 0, 0x0b, 0xad, 0xca, 0xfe, 0x01});

  Bytes data(first.begin() + kPrefixBytes, first.end());
  data[kFlagsAt] = 2;
  client.send(daemon.packetAddress(), data);
  Bytes expected = first;
  std::copy(data.begin(), data.end(), expected.begin() + kPrefixBytes);
  CHECK(server.receive() == expected);
}

/** @return a packet of the open flow that a server got, with content. */
Bytes dataOf(const Bytes& forwarded) {
  Bytes data(forwarded.begin() + kPrefixBytes, forwarded.end());
  data[kFlagsAt] = 2;
  return data;
}

TEST_CASE("a packet of an open flow does not wait behind openings", "[packetd]") {
  constexpr int kOpenings = 300;
  FakeStore store;
  TestSocket server;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", serverEntry(server.address()));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  TestSocket client;
  client.send(daemon.packetAddress(), opening(40001));
  const Bytes first = server.receive();
  REQUIRE(first.size() == kPrefixBytes + 32);
  daemon.signal(SIGSTOP);
  for (int count = 0; count < kOpenings; ++count) {
    client.send(daemon.packetAddress(), opening(static_cast<std::uint16_t>(41000 + count)));
  }
  client.send(daemon.packetAddress(), dataOf(first));
  daemon.signal(SIGCONT);
  int openings_before = 0;
  Bytes next = server.receive();
  while (next.size() == kPrefixBytes + 32 && next[kPrefixBytes + kFlagsAt] != 2) {
    ++openings_before;
    next = server.receive();
  }
  REQUIRE(next.size() == kPrefixBytes + 32);
  // The first after a pause is read alone; then new flows get a share of two in each full batch.
  CHECK(openings_before <= 1 + 2 * ((kOpenings - 1) / 32));
}

TEST_CASE("an opening that waited until its caller sent a copy is not served", "[packetd]") {
  FakeStore store;
  TestSocket server;
  Packetd daemon(store.address());
  daemon.start();
  TestSocket client;
  REQUIRE(Packetd::eventually([&] { return daemon.readyStatus() == 503; }));
  client.send(daemon.packetAddress(), opening(40001));
  // The daemon has read it, without a view.
  REQUIRE(daemon.waitForMetric("lugfork_packets_received_total 1"));
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  store.put("servers/i-0badcafe01", serverEntry(server.address()));
  store.put("op/config", kRoutes);
  REQUIRE(daemon.waitForReady(200));
  client.send(daemon.packetAddress(), opening(40002));
  const Bytes served = server.receive();
  REQUIRE(served.size() == kPrefixBytes + 32);
  CHECK(served[kPrefixBytes + 16] == 40002 >> 8);
  CHECK(served[kPrefixBytes + 17] == (40002 & 0xff));
  CHECK(daemon.waitForMetric(R"(lugfork_packets_dropped_total{cause="opening_outlived"} 1)"));
}

TEST_CASE("a zone out of service gets no new flow and keeps its open ones", "[packetd]") {
  FakeStore store;
  TestSocket in_lac;
  TestSocket in_ariana;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", serverEntry(in_lac.address(), "ready", "lac"));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  TestSocket client;
  client.send(daemon.packetAddress(), opening(40001));
  const Bytes first = in_lac.receive();
  REQUIRE(first.size() == kPrefixBytes + 32);

  store.put("servers/i-0badcafe02", serverEntry(in_ariana.address(), "ready", "ariana"));
  store.put("op/evacuate/lac", "{}");
  REQUIRE(daemon.waitForMetric("lugfork_zones_out_of_service 1"));
  constexpr std::uint16_t kOpenings = 20;
  for (std::uint16_t port = 41000; port < 41000 + kOpenings; ++port) {
    client.send(daemon.packetAddress(), opening(port));
  }
  for (int count = 0; count < kOpenings; ++count) {
    CHECK(in_ariana.receive().size() == kPrefixBytes + 32);
  }
  CHECK(
      daemon.waitForMetric(R"(lugfork_flows_placed_total{cause="none",service="s",zone="own"} 1)"));
  CHECK(daemon.waitForMetric(
      R"(lugfork_flows_placed_total{cause="capacity",service="s",zone="beyond"} 20)"));
  Bytes data(first.begin() + kPrefixBytes, first.end());
  data[kFlagsAt] = 2;
  client.send(daemon.packetAddress(), data);
  const Bytes next_in_lac = in_lac.receive();
  REQUIRE(next_in_lac.size() == kPrefixBytes + 32);
  CHECK(next_in_lac[kPrefixBytes + kFlagsAt] == 2);

  store.remove("op/evacuate/lac");
  CHECK(daemon.waitForMetric("lugfork_zones_out_of_service 0"));
}

TEST_CASE("bad input is counted and changes nothing", "[packetd]") {
  FakeStore store;
  TestSocket server;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", serverEntry(server.address()));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  TestSocket client;
  Bytes wrong_length = opening(1);
  wrong_length[1] = 9;
  Bytes unknown_flags = opening(1);
  unknown_flags[kFlagsAt] = 5;
  Bytes foreign_token = opening(1);
  foreign_token[kFlagsAt] = 2;
  client.send(daemon.packetAddress(), {1, 2, 3});
  client.send(daemon.packetAddress(), wrong_length);
  client.send(daemon.packetAddress(), unknown_flags);
  client.send(daemon.packetAddress(), foreign_token);
  store.put("op/config", "garbage");
  store.put("servers/i-0badcafe02", "{}");
  store.put("servers/nothex!", serverEntry(server.address()));
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
  client.send(daemon.packetAddress(), opening(40002));
  CHECK(server.receive().size() == kPrefixBytes + 32);
}

TEST_CASE("no answer of the store empties what is known", "[packetd]") {
  FakeStore store;
  TestSocket server;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", serverEntry(server.address()));
  Packetd daemon(store.address());
  daemon.start();
  REQUIRE(daemon.waitForReady(200));
  const auto [how, status] = GENERATE(std::pair<std::string, int>("throttled", 429),
                                      std::pair<std::string, int>("unavailable", 503),
                                      std::pair<std::string, int>("not_found", 404),
                                      std::pair<std::string, int>("malformed", 500),
                                      std::pair<std::string, int>("malformed", 200),
                                      std::pair<std::string, int>("history_gone", 410));
  if (status == 410) {
    store.put("servers/i-0badcafe09", serverEntry(server.address()));
    store.remove("servers/i-0badcafe09");
    store.compactHistory();
  }
  store.truncateResponses(status == 200);
  store.failWith(status == 410 ? 200 : status);
  store.put("servers/i-0badcafe03", serverEntry({kLoopback, 9}, "draining"));
  if (status != 410) {
    CHECK(Packetd::eventually([&, how = how] {
      const std::string name = "lugfork_platform_errors_total{cause=\"" + how + "\"} ";
      const std::string text = daemon.metrics();
      const auto at = text.find(name);
      return at != std::string::npos && text[at + name.size()] != '0';
    }));
  }
  TestSocket client;
  client.send(daemon.packetAddress(), opening(40003));
  CHECK(server.receive().size() == kPrefixBytes + 32);

  store.truncateResponses(false);
  store.failWith(200);
  store.put("op/config", R"({"version":8,"routes":[]})");
  CHECK(daemon.waitForMetric("lugfork_routes_version 8"));
}

TEST_CASE("a node that the store refuses reads what another knows", "[packetd]") {
  FakeStore store;
  TestSocket server;
  store.put("op/config", kRoutes);
  store.put("servers/i-0badcafe01", serverEntry(server.address()));
  const ReservedPort peer_port;
  Packetd first(store.address(), {}, {kLoopback, peer_port.number()});
  first.start();
  REQUIRE(first.waitForReady(200));
  FakeStore refusing;
  refusing.failWith(503);
  Packetd second(refusing.address(), {first.controlAddress()}, {kLoopback + 1, peer_port.number()});
  second.start();
  REQUIRE(second.waitForReady(200));
  TestSocket client;
  client.send(second.packetAddress(), opening(40004));
  CHECK(server.receive().size() == kPrefixBytes + 32);
  store.put("op/config", R"({"version":9,"routes":[]})");
  CHECK(second.waitForMetric("lugfork_routes_version 9"));
  CHECK(second.log().find("\"origin\":\"balancer\"") != std::string::npos);
  // Nothing to learn there: the store is left alone while another balancer has a fresh view.
  CHECK(refusing.calls() <= 2);
}

TEST_CASE("of two balancers one follows the other, and the store again once that one is dead",
          "[packetd]") {
  FakeStore store;
  store.put("op/config", kRoutes);
  const ReservedPort peer_port;
  Packetd first(store.address(), {}, {kLoopback, peer_port.number()});
  Packetd second(store.address(), {first.controlAddress()}, {kLoopback + 1, peer_port.number()});
  first.start();
  second.start();
  // Help lines begin in the same way, but not at the start of a line.
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

TEST_CASE("a planned stop takes little longer than its quiet time", "[packetd]") {
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

TEST_CASE("the settings are read again on SIGHUP", "[packetd]") {
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

/** @return the program's exit code and what it wrote. */
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

TEST_CASE("settings of the own zone's share are checked", "[packetd]") {
  struct Row {
    const char* setting;
    const char* told;
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
    CHECK(text.find(row.told) != std::string::npos);
    std::remove(file.c_str());
  }
}

TEST_CASE("the command line is as in the other programs", "[packetd]") {
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
