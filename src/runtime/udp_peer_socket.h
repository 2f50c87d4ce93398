#pragma once

#include "discovery/evidence_exchange.h"
#include "discovery/view_client.h"
#include "discovery/view_provider.h"
#include "runtime/udp_endpoint.h"

namespace lugfork {

/** Exchanges view and evidence messages with peers (UDP). */
class UdpPeerSocket {
 public:
  /** Called for each invalid datagram with its sender, size [bytes] and cause. */
  using InvalidDatagramCallback =
      std::function<void(Endpoint from, std::size_t bytes, CodecError cause)>;

  /** @param address local address; all balancers of a fleet use the same port number. */
  UdpPeerSocket(boost::asio::io_context& io_context, Endpoint address, const PeerKey& key);

  /** Sets the receivers of view messages; both must outlive this socket's event loop. */
  void setReceivers(ViewClient* client, ViewProvider* provider);
  /** Sets the receiver of evidence of silent backends; without one it is ignored. */
  void setEvidenceReceiver(EvidenceReceiver* receiver) { evidence_ = receiver; }
  void setInvalidDatagramCallback(InvalidDatagramCallback callback) {
    on_invalid_datagram_ = std::move(callback);
  }

  void send(Endpoint to, const ViewMessage& message);

  std::uint16_t port() const { return socket_.localAddress().port; }

  /** @return datagrams dropped because of their form, fleet key or version. */
  std::uint64_t invalidDatagrams() const { return invalid_datagrams_; }

 private:
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  void dispatchEvidence(const ViewMessage& message, Endpoint from);
  void dispatch(const ViewMessage& message, Endpoint from);

  const PeerKey key_;
  ViewClient* client_ = nullptr;
  ViewProvider* provider_ = nullptr;
  EvidenceReceiver* evidence_ = nullptr;
  InvalidDatagramCallback on_invalid_datagram_;
  std::uint64_t invalid_datagrams_ = 0;
  UdpEndpoint socket_;
};

}  // namespace lugfork
