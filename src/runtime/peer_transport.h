#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>
#include <zmq.hpp>

#include "runtime/peer_authenticator.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Counters of the peer transport since the start of the process. */
struct PeerTransportCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  /** Frames that are no valid peer message, or whose routing id is no address. */
  std::uint64_t messages_rejected = 0;
  /** Messages not sent because the send queue of the peer is full. */
  std::uint64_t messages_dropped = 0;
};

/**
 * Sends and receives peer messages as ZeroMQ frames: one ROUTER socket receives, one DEALER socket
 * per peer sends. The routing id is the peer address of the sender. All calls must be made on the
 * event loop.
 */
class PeerTransport {
 public:
  using Handler = std::function<void(Endpoint, const PeerMessage&)>;

  /** @throws std::runtime_error if the address can't be bound or a key is invalid. */
  PeerTransport(boost::asio::io_context& io_context, Endpoint address,
                PeerSecuritySettings security, Handler handler);

  /** Sends without blocking; drops the message if the send queue of the peer is full. */
  void send(Endpoint peer, const PeerMessage& message);

  const PeerTransportCounters& counters() const { return counters_; }

  /** @return connection attempts rejected because of their keys since the start. */
  std::uint64_t rejectedPeers() const {
    return authenticator_ == nullptr ? 0 : authenticator_->rejected();
  }

 private:
  zmq::socket_t& socketOf(Endpoint peer);
  void onFrames(const ZmqReader::Frames& frames);

  const Endpoint address_;
  const PeerSecuritySettings security_;
  Handler handler_;
  zmq::context_t context_;
  zmq::socket_t receiver_;
  std::unique_ptr<PeerAuthenticator> authenticator_;
  std::unique_ptr<ZmqReader> reader_;
  std::unordered_map<Endpoint, zmq::socket_t> senders_;
  PeerTransportCounters counters_;
};

}  // namespace lugfork
