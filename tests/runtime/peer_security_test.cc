#include "runtime/peer_security.h"

#include <unistd.h>

#include <catch2/catch.hpp>

#include "runtime/peer_transport.h"

namespace lugfork {
namespace {

constexpr auto kStep = std::chrono::milliseconds(20);
/** Longest wait for an expected event. */
constexpr auto kTimeout = std::chrono::seconds(20);

PeerSecuritySettings makeFleetKeys() {
  const PeerKeyPair pair = makePeerKeyPair();
  return {pair.public_key, pair.secret_key, {}};
}

/** A receiving and a sending peer, each with its own key settings. */
class TwoPeers {
 public:
  TwoPeers(const PeerSecuritySettings& receiver, const PeerSecuritySettings& sender)
      : receiver_(io_context_, freePort(receiver_address_, 1), receiver,
                  [this](Endpoint, const PeerMessage&) { ++received; }),
        sender_(io_context_, freePort(sender_address_, 2), sender,
                [](Endpoint, const PeerMessage&) {}) {}

  /** Sends repeatedly until a message is received or a connection is rejected. */
  void run() {
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (received == 0 && rejected() == 0 && std::chrono::steady_clock::now() < deadline) {
      sender_.send(receiver_address_, MembersRequest{});
      io_context_.run_for(kStep);
    }
  }

  std::uint64_t rejected() const { return receiver_.rejectedPeers(); }

  int received = 0;

 private:
  /** Selects a loopback address by process id, so that concurrent test runs do not conflict. */
  static Endpoint freePort(Endpoint& address, std::uint16_t offset) {
    const auto process = static_cast<std::uint32_t>(::getpid());
    const std::uint32_t host = 0x7f010000 + process % 65000 + 1;
    address = {host, static_cast<std::uint16_t>(29000 + offset)};
    return address;
  }

  boost::asio::io_context io_context_;
  Endpoint receiver_address_;
  Endpoint sender_address_;
  PeerTransport receiver_;
  PeerTransport sender_;
};

TEST_CASE("only messages of peers with the keys of the fleet are received") {
  const PeerSecuritySettings fleet = makeFleetKeys();
  const PeerSecuritySettings other_fleet = makeFleetKeys();
  struct Row {
    const char* name;
    PeerSecuritySettings receiver;
    PeerSecuritySettings sender;
    bool accepted;
  };
  const Row rows[] = {
      {"no keys on either side", {}, {}, true},
      {"keys of the fleet on both", fleet, fleet, true},
      {"keys of another fleet", fleet, other_fleet, false},
      {"no encryption", fleet, {}, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    TwoPeers peers(row.receiver, row.sender);
    peers.run();
    CHECK((peers.received > 0) == row.accepted);
    CHECK((peers.rejected() > 0) == !row.accepted);
  }
}

TEST_CASE("a peer with its own key pair is rejected unless its public key is listed") {
  const PeerSecuritySettings fleet = makeFleetKeys();
  const PeerKeyPair client_keys = makePeerKeyPair();
  struct Row {
    const char* name;
    std::vector<std::string> allowed;
    bool accepted;
  };
  const Row rows[] = {{"unlisted", {}, false}, {"listed", {client_keys.public_key}, true}};
  for (const Row& row : rows) {
    INFO(row.name);
    boost::asio::io_context io_context;
    zmq::context_t context;
    zmq::socket_t listener(context, zmq::socket_type::router);
    PeerSecuritySettings settings = fleet;
    settings.allowed_keys = row.allowed;
    const PeerAuthenticator authenticator(io_context, context, listener, settings);
    listener.bind("tcp://127.0.0.1:*");
    int received = 0;
    const ZmqReader reader(io_context, listener, [&](const ZmqReader::Frames&) { ++received; });
    zmq::socket_t client(context, zmq::socket_type::dealer);
    client.set(zmq::sockopt::linger, 0);
    client.set(zmq::sockopt::curve_serverkey, fleet.public_key);
    client.set(zmq::sockopt::curve_publickey, client_keys.public_key);
    client.set(zmq::sockopt::curve_secretkey, client_keys.secret_key);
    client.connect(listener.get(zmq::sockopt::last_endpoint));
    client.send(zmq::str_buffer("hello"), zmq::send_flags::dontwait);
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (received == 0 && authenticator.rejected() == 0 &&
           std::chrono::steady_clock::now() < deadline) {
      io_context.run_for(kStep);
    }
    CHECK((received > 0) == row.accepted);
    CHECK((authenticator.rejected() > 0) == !row.accepted);
  }
}

TEST_CASE("the error for invalid key settings contains the setting") {
  const PeerSecuritySettings fleet = makeFleetKeys();
  struct Row {
    const char* name;
    PeerSecuritySettings settings;
    const char* problem;
  };
  const Row rows[] = {
      {"none", {}, ""},
      {"pair", fleet, ""},
      {"public key alone", {fleet.public_key, "", {}}, "peer-secret-key"},
      {"secret key alone", {"", fleet.secret_key, {}}, "peer-public-key"},
      {"short secret", {fleet.public_key, "abc", {}}, "peer-secret-key"},
      {"foreign public key", {makeFleetKeys().public_key, fleet.secret_key, {}}, "peer-public-key"},
      {"wrong listed key", {fleet.public_key, fleet.secret_key, {"abc"}}, "peer-allowed-key"},
      {"listed key without a pair", {"", "", {fleet.public_key}}, "peer-allowed-key"},
  };
  for (const Row& row : rows) {
    const std::string problem = checkPeerSecurity(row.settings);
    INFO(row.name << ": " << problem);
    CHECK(problem.empty() == std::string(row.problem).empty());
    CHECK(problem.find(row.problem) != std::string::npos);
  }
}

}  // namespace
}  // namespace lugfork
