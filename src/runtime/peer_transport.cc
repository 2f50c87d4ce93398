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

PeerTransport::PeerTransport(boost::asio::io_context& io_context, Endpoint address, Handler handler)
    : address_(address),
      handler_(std::move(handler)),
      receiver_(context_, zmq::socket_type::router),
      receiver_descriptor_(io_context) {
  receiver_.set(zmq::sockopt::linger, 0);
  receiver_.set(zmq::sockopt::router_handover, true);
  receiver_.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(kMaxPeerMessageBytes));
  receiver_.bind(zmqAddress(address));
  receiver_descriptor_.assign(receiver_.get(zmq::sockopt::fd));
  waitForFrames();
}

PeerTransport::~PeerTransport() {
  // ZeroMQ owns the descriptor.
  receiver_descriptor_.release();
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
  socket.connect(zmqAddress(peer));
  return senders_.emplace(peer, std::move(socket)).first->second;
}

void PeerTransport::waitForFrames() {
  receiver_descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                  [this](const boost::system::error_code& error) {
                                    if (error) {
                                      return;
                                    }
                                    receiveFrames();
                                    waitForFrames();
                                  });
}

void PeerTransport::receiveFrames() {
  // The descriptor signals only changes, so everything that is there must be read.
  zmq::message_t sender;
  while (receiver_.recv(sender, zmq::recv_flags::dontwait)) {
    zmq::message_t body;
    while (receiver_.get(zmq::sockopt::rcvmore)) {
      static_cast<void>(receiver_.recv(body, zmq::recv_flags::none));
    }
    onFrames(sender, body);
  }
}

void PeerTransport::onFrames(const zmq::message_t& sender, const zmq::message_t& body) {
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
