#include "runtime/peer_authenticator.h"

#include <array>
#include <cstring>

namespace lugfork {

namespace {

constexpr const char* kZapAddress = "inproc://zeromq.zap.01";
constexpr const char* kMonitorAddress = "inproc://lugfork.peer-monitor";
constexpr const char* kProtocolVersion = "1.0";
constexpr std::size_t kKeyBytes = 32;
constexpr int kRejectionEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                                 ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                                 ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;

/** Indices of frames in an authentication request (ZAP). */
constexpr std::size_t kRequestIdFrame = 1;
constexpr std::size_t kMechanismFrame = 5;
constexpr std::size_t kKeyFrame = 6;

std::string binaryKey(const std::string& text) {
  std::string key(kKeyBytes, '\0');
  zmq_z85_decode(reinterpret_cast<std::uint8_t*>(key.data()), text.c_str());
  return key;
}

zmq::socket_t secure(zmq::context_t& context, zmq::socket_t& listener,
                     const PeerSecuritySettings& settings) {
  zmq::socket_t zap_socket(context, zmq::socket_type::rep);
  zap_socket.set(zmq::sockopt::linger, 0);
  zap_socket.bind(kZapAddress);
  listener.set(zmq::sockopt::curve_server, true);
  listener.set(zmq::sockopt::curve_secretkey, settings.secret_key);
  return zap_socket;
}

zmq::socket_t monitor(zmq::context_t& context, zmq::socket_t& listener) {
  if (zmq_socket_monitor(listener.handle(), kMonitorAddress, kRejectionEvents) != 0) {
    throw zmq::error_t();
  }
  zmq::socket_t events(context, zmq::socket_type::pair);
  events.set(zmq::sockopt::linger, 0);
  events.connect(kMonitorAddress);
  return events;
}

void sendText(zmq::socket_t& socket, std::string_view text, zmq::send_flags flags) {
  zmq::message_t frame(text.data(), text.size());
  static_cast<void>(socket.send(frame, flags));
}

}  // namespace

PeerAuthenticator::PeerAuthenticator(boost::asio::io_context& io_context, zmq::context_t& context,
                                     zmq::socket_t& listener, const PeerSecuritySettings& settings)
    : zap_socket_(secure(context, listener, settings)),
      monitor_socket_(monitor(context, listener)),
      zap_reader_(io_context, zap_socket_,
                  [this](const ZmqReader::Frames& request) { onAuthenticationRequest(request); }),
      monitor_reader_(io_context, monitor_socket_,
                      [this](const ZmqReader::Frames& event) { onMonitorEvent(event); }) {
  allowed_keys_.insert(binaryKey(settings.public_key));
  for (const std::string& key : settings.allowed_keys) {
    allowed_keys_.insert(binaryKey(key));
  }
}

void PeerAuthenticator::secureSender(zmq::socket_t& sender, const PeerSecuritySettings& settings) {
  sender.set(zmq::sockopt::curve_serverkey, settings.public_key);
  sender.set(zmq::sockopt::curve_publickey, settings.public_key);
  sender.set(zmq::sockopt::curve_secretkey, settings.secret_key);
}

void PeerAuthenticator::onAuthenticationRequest(const ZmqReader::Frames& request) {
  const bool allowed = request.size() > kKeyFrame &&
                       request[kMechanismFrame].to_string_view() == "CURVE" &&
                       allowed_keys_.contains(request[kKeyFrame].to_string());
  const std::string_view id = request.size() > kRequestIdFrame
                                  ? request[kRequestIdFrame].to_string_view()
                                  : std::string_view();
  const std::array<std::string_view, 5> reply_head = {kProtocolVersion, id, allowed ? "200" : "400",
                                                      allowed ? "OK" : "key not allowed", ""};
  for (const std::string_view part : reply_head) {
    sendText(zap_socket_, part, zmq::send_flags::sndmore);
  }
  sendText(zap_socket_, "", zmq::send_flags::none);
}

void PeerAuthenticator::onMonitorEvent(const ZmqReader::Frames& event) {
  std::uint16_t type = 0;
  if (event.front().size() >= sizeof(type)) {
    std::memcpy(&type, event.front().data(), sizeof(type));
  }
  rejected_ += (type & kRejectionEvents) != 0 ? 1 : 0;
}

}  // namespace lugfork
