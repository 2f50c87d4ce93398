#include "runtime/peer_transport.h"

#include "common/endpoint_parser.h"
#include "wire/peer_codec.h"

namespace lugfork {

namespace {

constexpr int kSendQueueLength = 64;
constexpr int kReconnectMaxMilliseconds = 2000;

std::string zmqAddress(Endpoint endpoint) {
  return "tcp://" + toString(endpoint);
}

}  // namespace

PeerTransport::PeerTransport(boost::asio::io_context& io_context, Endpoint address,
                             PeerSecuritySettings security, Handler handler)
    : address_(address),
      security_(std::move(security)),
      handler_(std::move(handler)),
      receiver_(context_, zmq::socket_type::router) {
  const std::string problem = checkPeerSecurity(security_);
  if (!problem.empty()) {
    throw std::runtime_error(problem);
  }
  receiver_.set(zmq::sockopt::linger, 0);
  receiver_.set(zmq::sockopt::router_handover, true);
  receiver_.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(kMaxPeerMessageBytes));
  if (security_.enabled()) {
    authenticator_ =
        std::make_unique<PeerAuthenticator>(io_context, context_, receiver_, security_);
  }
  try {
    receiver_.bind(zmqAddress(address));
  } catch (const zmq::error_t& error) {
    throw std::runtime_error("peer address " + toString(address) + ": " + error.what());
  }
  reader_ = std::make_unique<ZmqReader>(
      io_context, receiver_, [this](const ZmqReader::Frames& frames) { onFrames(frames); });
}

void PeerTransport::send(Endpoint peer, const PeerMessage& message) {
  const Bytes bytes = encodePeerMessage(message);
  zmq::message_t frame(bytes.data(), bytes.size());
  if (!socketOf(peer).send(frame, zmq::send_flags::dontwait)) {
    ++counters_.messages_dropped;
    return;
  }
  ++counters_.messages_sent;
  counters_.bytes_sent += bytes.size();
}

zmq::socket_t& PeerTransport::socketOf(Endpoint peer) {
  const auto found = senders_.find(peer);
  if (found != senders_.end()) {
    return found->second;
  }
  zmq::socket_t socket(context_, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendQueueLength);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMilliseconds);
  socket.set(zmq::sockopt::routing_id, toString(address_));
  if (security_.enabled()) {
    PeerAuthenticator::secureSender(socket, security_);
  }
  socket.connect(zmqAddress(peer));
  return senders_.emplace(peer, std::move(socket)).first->second;
}

void PeerTransport::onFrames(const ZmqReader::Frames& frames) {
  const zmq::message_t& sender = frames.front();
  const zmq::message_t& body = frames.back();
  counters_.bytes_received += body.size();
  const auto from = parseEndpoint(sender.to_string_view());
  const auto message =
      decodePeerMessage(std::span(static_cast<const std::uint8_t*>(body.data()), body.size()));
  if (!from || !message) {
    ++counters_.messages_rejected;
    return;
  }
  ++counters_.messages_received;
  handler_(*from, message.value());
}

}  // namespace lugfork
