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
class PeerAuthenticator {
 public:
  /** @param listener socket that peers connect to; must not be bound yet. */
  PeerAuthenticator(boost::asio::io_context& io_context, zmq::context_t& context,
                    zmq::socket_t& listener, const PeerSecuritySettings& settings);

  /** Sets the keys of the sending side of a connection. */
  static void secureSender(zmq::socket_t& sender, const PeerSecuritySettings& settings);

  /** @return connection attempts rejected since the start. */
  std::uint64_t rejected() const { return rejected_; }

 private:
  void onAuthenticationRequest(const ZmqReader::Frames& request);
  void onMonitorEvent(const ZmqReader::Frames& event);

  /** Allowed public keys, in binary form. */
  std::set<std::string> allowed_keys_;
  std::uint64_t rejected_ = 0;
  zmq::socket_t zap_socket_;
  zmq::socket_t monitor_socket_;
  ZmqReader zap_reader_;
  ZmqReader monitor_reader_;
};

}  // namespace lugfork
