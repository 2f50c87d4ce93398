#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "runtime/peer_security.h"
#include "runtime/zmq_reader.h"

namespace lugfork {

/**
 * Decides which peers may connect to a ZeroMQ socket (CURVE and ZAP, RFC 27 of ZeroMQ) and counts
 * those that were refused: an unlisted key, a wrong server key, or no encryption at all.
 */
class PeerGate {
 public:
  /** @param listener socket that peers connect to; secured here, before it is bound. */
  PeerGate(boost::asio::io_context& io_context, zmq::context_t& context, zmq::socket_t& listener,
           const PeerSecuritySettings& settings);

  /** Secures the sending side of a connection. */
  static void secureSender(zmq::socket_t& sender, const PeerSecuritySettings& settings);

  /** @return connection attempts refused since the start. */
  std::uint64_t refused() const { return refused_; }

 private:
  void onAuthenticationRequest(const ZmqReader::Frames& request);
  void onMonitorEvent(const ZmqReader::Frames& event);

  /** Allowed public keys in binary form. */
  std::set<std::string> allowed_;
  std::uint64_t refused_ = 0;
  zmq::socket_t authenticator_;
  zmq::socket_t monitor_;
  ZmqReader authenticator_reader_;
  ZmqReader monitor_reader_;
};

}  // namespace lugfork
