#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <unordered_map>
#include <zmq.hpp>

#include "wire/peer_message.h"

namespace lugfork {

/** Counts of the peer transport since the start of the process. */
struct PeerTransportCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  /** Frames that are no peer message, or whose sender gave no address. */
  std::uint64_t messages_rejected = 0;
  /** Messages not sent because the peer takes none at the moment. */
  std::uint64_t messages_dropped = 0;
};

/**
 * Peer messages as ZeroMQ frames: one ROUTER socket receives, one DEALER socket for each peer
 * sends. A sender gives its own peer address as the routing id. All calls on the event loop.
 */
class PeerTransport {
 public:
  using Handler = std::function<void(Endpoint, const PeerMessage&)>;

  /** @throws zmq::error_t where the address can't be bound. */
  PeerTransport(boost::asio::io_context& io_context, Endpoint address, Handler handler);
  ~PeerTransport();

  /** Sends without waiting; a message to a peer that is away is dropped. */
  void send(Endpoint peer, const PeerMessage& message);

  const PeerTransportCounters& counters() const { return counters_; }

 private:
  zmq::socket_t& socketOf(Endpoint peer);
  void waitForFrames();
  void receiveFrames();
  void onFrames(const zmq::message_t& sender, const zmq::message_t& body);

  const Endpoint address_;
  Handler handler_;
  zmq::context_t context_;
  zmq::socket_t receiver_;
  boost::asio::posix::stream_descriptor receiver_descriptor_;
  std::unordered_map<Endpoint, zmq::socket_t> senders_;
  PeerTransportCounters counters_;
};

}  // namespace lugfork
