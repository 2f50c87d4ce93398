#pragma once

#include "discovery/evidence_exchange.h"
#include "discovery/view_client.h"
#include "discovery/view_provider.h"
#include "runtime/udp_endpoint.h"

namespace lugfork {

/** Carries the messages of a ViewClient and a ViewProvider to other balancers (UDP). */
class UdpPeerSocket {
 public:
  /** Gets a datagram that was refused: who sent it, its size [bytes], why. */
  using RefusalCallback = std::function<void(Endpoint from, std::size_t bytes, CodecError cause)>;

  /** @param address where this balancer asks and answers; all of a fleet use one port number. */
  UdpPeerSocket(boost::asio::io_context& io_context, Endpoint address, const PeerKey& key);

  /** Sets who takes messages; both must outlive this socket's event loop. */
  void setReceivers(ViewClient* client, ViewProvider* provider);
  /** Sets who takes messages about silent servers; without one they are passed over. */
  void setEvidenceReceiver(EvidenceReceiver* receiver) { evidence_ = receiver; }
  void setRefusalCallback(RefusalCallback callback) { on_refused_ = std::move(callback); }

  void send(Endpoint to, const ViewMessage& message);

  std::uint16_t port() const { return socket_.localAddress().port; }

  /** @return datagrams of another form, fleet or version. */
  std::uint64_t refused() const { return refused_; }

 private:
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  void dispatchEvidence(const ViewMessage& message, Endpoint from);
  void dispatch(const ViewMessage& message, Endpoint from);

  const PeerKey key_;
  ViewClient* client_ = nullptr;
  ViewProvider* provider_ = nullptr;
  EvidenceReceiver* evidence_ = nullptr;
  RefusalCallback on_refused_;
  std::uint64_t refused_ = 0;
  UdpEndpoint socket_;
};

}  // namespace lugfork
