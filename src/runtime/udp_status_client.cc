#include "runtime/udp_status_client.h"

#include <utility>

namespace lugfork {

UdpStatusClient::UdpStatusClient(boost::asio::io_context& io_context, Endpoint address,
                                 const StatusKey& key, StatusClientSettings settings,
                                 StatusProvider own_status, Scheduler& scheduler,
                                 RandomGenerator& random)
    : key_(key),
      settings_(settings),
      own_status_(std::move(own_status)),
      scheduler_(scheduler),
      random_(random),
      socket_(
          io_context, address,
          [this](std::span<const std::uint8_t> bytes, Endpoint from) { onDatagram(bytes, from); }),
      port_(socket_.localAddress().port) {}

void UdpStatusClient::askStatus(Endpoint peer, StatusCallback callback) {
  const std::uint64_t question = random_.next();
  const Endpoint to{peer.address, port_};
  pending_.insert_or_assign(question, Pending{to, std::move(callback)});
  send(to, StatusQuestion{question});
  scheduler_.callAfter(settings_.resend_after, [this, question] { resend(question); });
  scheduler_.callAfter(settings_.give_up_after, [this, question] { giveUp(question); });
}

void UdpStatusClient::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  const auto message = decodeStatusMessage(bytes, key_);
  if (!message) {
    return;
  }
  if (const auto* question = std::get_if<StatusQuestion>(&message.value())) {
    send(from, StatusAnswer{question->question, own_status_()});
    return;
  }
  onAnswer(std::get<StatusAnswer>(message.value()), from);
}

void UdpStatusClient::onAnswer(const StatusAnswer& answer, Endpoint from) {
  const auto found = pending_.find(answer.question);
  if (found == pending_.end() || found->second.peer != from) {
    return;
  }
  const StatusCallback callback = std::move(found->second.callback);
  pending_.erase(found);
  callback(answer.status);
}

void UdpStatusClient::send(Endpoint to, const StatusMessage& message) {
  socket_.sendBytes(to, encodeStatusMessage(message, key_));
}

void UdpStatusClient::resend(std::uint64_t question) {
  const auto found = pending_.find(question);
  if (found != pending_.end()) {
    send(found->second.peer, StatusQuestion{question});
  }
}

void UdpStatusClient::giveUp(std::uint64_t question) {
  const auto found = pending_.find(question);
  if (found == pending_.end()) {
    return;
  }
  const StatusCallback callback = std::move(found->second.callback);
  pending_.erase(found);
  callback(SourceError::NoAnswer);
}

}  // namespace lugfork
