#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "runtime/peer_security.h"
#include "runtime/zmq_reader.h"

namespace lugfork {

/**
 * Authenticates the peers that connect to a ZeroMQ socket (CURVE and ZAP, RFC 27 of ZeroMQ) and
 * counts rejected connections: key not in the list, wrong server key, or no encryption.
 */
class PeerGate {
 public:
  /** @param listener socket that peers connect to; must not be bound yet. */
  PeerGate(boost::asio::io_context& io_context, zmq::context_t& context, zmq::socket_t& listener,
           const PeerSecuritySettings& settings);

  /** Sets the keys of the sending side of a connection. */
  static void secureSender(zmq::socket_t& sender, const PeerSecuritySettings& settings);

  /** @return connection attempts rejected since the start. */
  std::uint64_t refused() const { return refused_; }

 private:
  void onAuthenticationRequest(const ZmqReader::Frames& request);
  void onMonitorEvent(const ZmqReader::Frames& event);

  /** Allowed public keys, in binary form. */
  std::set<std::string> allowed_;
  std::uint64_t refused_ = 0;
  zmq::socket_t authenticator_;
  zmq::socket_t monitor_;
  ZmqReader authenticator_reader_;
  ZmqReader monitor_reader_;
};

}  // namespace lugfork
