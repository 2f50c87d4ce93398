#pragma once

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

#include "common/random_generator.h"
#include "sim/simulated_process.h"
#include "sim/trace_hash.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Delays and error rates of all links. */
struct LinkSettings {
  Duration within_zone = Duration(100);
  Duration between_zones = Duration(500);
  /** Between clients, which have no zone, and all other processes. */
  Duration to_clients = milliseconds(1);
  /** Each delay is drawn from [delay, delay * (1 + jitter)]; large values reorder. */
  double jitter = 0.2;
  /** Probability that a datagram is lost. */
  double loss = 0;
  /** Probability that a datagram arrives twice. */
  double duplication = 0;
};

/** Zone name of clients. */
inline constexpr const char* kClientZone = "callers";

/** Counters of the network. */
struct NetworkCounters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_lost = 0;
  std::uint64_t datagrams_cut = 0;
  std::uint64_t peer_messages_sent = 0;
  std::uint64_t peer_bytes_sent = 0;
};

/** Carries datagrams, peer messages and requests between simulated processes. */
class SimulatedNetwork {
 public:
  using DatagramHandler = std::function<void(std::span<const std::uint8_t>, Endpoint)>;
  using PeerHandler = std::function<void(Endpoint, const PeerMessage&)>;

  SimulatedNetwork(EventQueue& queue, RandomGenerator& random, LinkSettings settings)
      : queue_(queue), random_(random), settings_(settings) {}

  /** Settings may change while the simulation runs. */
  LinkSettings& settings() { return settings_; }

  void attachDatagrams(Endpoint address, SimulatedProcess& process, DatagramHandler handler);
  void attachPeers(Endpoint address, SimulatedProcess& process, PeerHandler handler);

  void sendDatagram(const SimulatedProcess& from, Endpoint source, Endpoint destination,
                    Bytes bytes);
  /** @return the encoded size of the message, in bytes. */
  std::size_t sendPeerMessage(const SimulatedProcess& from, Endpoint source, Endpoint destination,
                              const PeerMessage& message);

  /**
   * Sends one request over a connection without loss or duplication.
   * @param serve runs in the server's process and returns the reply.
   * @param on_reply runs in the client's process with the reply.
   * @param on_failure runs in the client's process if no reply arrives within the timeout.
   */
  template <typename Reply>
  void request(SimulatedProcess& client, SimulatedProcess& server, Duration timeout,
               std::function<Reply()> serve, std::function<void(const Reply&)> on_reply,
               std::function<void()> on_failure) {
    const auto answered = std::make_shared<bool>(false);
    const std::uint64_t generation = client.generation();
    client.runAfter(timeout, [answered, on_failure = std::move(on_failure)] {
      if (!*answered && on_failure) {
        on_failure();
      }
      *answered = true;
    });
    transfer(client, server, [=, this, &client, &server] {
      const Reply reply = serve();
      transfer(server, client, [=, &client] {
        // The connection ends with the client's process; a later incarnation never gets the reply.
        if (!*answered && client.generation() == generation) {
          *answered = true;
          on_reply(reply);
        }
      });
    });
  }

  /** Cuts the link from one zone or process to another, by name, in this direction only. */
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void heal(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
  void healAll() { cuts_.clear(); }

  const NetworkCounters& counters() const { return counters_; }

  /** @return the hash of all datagrams and peer messages sent so far. */
  std::uint64_t traceDigest() const { return trace_.digest(); }

 private:
  struct DatagramReceiver {
    SimulatedProcess* process;
    DatagramHandler handler;
  };
  struct PeerReceiver {
    SimulatedProcess* process;
    PeerHandler handler;
  };

  bool isCut(const SimulatedProcess& from, const SimulatedProcess& to) const;
  Duration delay(const SimulatedProcess& from, const SimulatedProcess& to);

  /** Runs the event in the other process after the link's delay, unless the link is cut. */
  void transfer(const SimulatedProcess& from, SimulatedProcess& to, EventQueue::Event event);

  EventQueue& queue_;
  RandomGenerator& random_;
  LinkSettings settings_;
  std::unordered_map<Endpoint, DatagramReceiver> datagram_receivers_;
  std::unordered_map<Endpoint, PeerReceiver> peer_receivers_;
  std::set<std::pair<std::string, std::string>> cuts_;
  NetworkCounters counters_;
  TraceHash trace_;
};

}  // namespace lugfork
