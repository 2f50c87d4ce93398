#include "runtime/udp_peer_socket.h"

namespace lugfork {

UdpPeerSocket::UdpPeerSocket(boost::asio::io_context& io_context, Endpoint address,
                             const PeerKey& key)
    : key_(key),
      socket_(io_context, address, [this](std::span<const std::uint8_t> bytes, Endpoint from) {
        onDatagram(bytes, from);
      }) {}

void UdpPeerSocket::setReceivers(ViewClient* client, ViewProvider* provider) {
  client_ = client;
  provider_ = provider;
}

void UdpPeerSocket::send(Endpoint to, const ViewMessage& message) {
  socket_.sendBytes(to, encodeViewMessage(message, key_));
}

void UdpPeerSocket::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  const auto message = decodeViewMessage(bytes, key_);
  if (message) {
    dispatch(message.value(), from);
    dispatchEvidence(message.value(), from);
    return;
  }
  ++invalid_datagrams_;
  if (on_invalid_datagram_) {
    on_invalid_datagram_(from, bytes.size(), message.error());
  }
}

void UdpPeerSocket::dispatchEvidence(const ViewMessage& message, Endpoint from) {
  if (evidence_ == nullptr) {
    return;
  }
  if (const auto* report = std::get_if<EvidenceReport>(&message)) {
    evidence_->onReport(*report, from);
  } else if (const auto* digest = std::get_if<EvidenceDigest>(&message)) {
    evidence_->onDigest(*digest, from);
  }
}

void UdpPeerSocket::dispatch(const ViewMessage& message, Endpoint from) {
  if (client_ == nullptr || provider_ == nullptr) {
    return;
  }
  if (const auto* part = std::get_if<ViewPart>(&message)) {
    client_->onPart(*part, from);
  } else if (const auto* refusal = std::get_if<ViewRefusal>(&message)) {
    client_->onRefusal(*refusal, from);
  } else if (const auto* reply = std::get_if<PeersReply>(&message)) {
    client_->onPeersReply(*reply, from);
  } else if (const auto* request = std::get_if<ViewRequest>(&message)) {
    provider_->onRequest(*request, from);
  } else if (const auto* peers = std::get_if<PeersRequest>(&message)) {
    provider_->onPeersRequest(*peers, from);
  }
}

}  // namespace lugfork
