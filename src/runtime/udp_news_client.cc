#include "runtime/udp_news_client.h"

#include <utility>

namespace lugfork {

UdpNewsClient::UdpNewsClient(boost::asio::io_context& io_context, Endpoint address,
                             const NewsKey& key, NewsClientSettings settings, NewsProvider own_news,
                             Scheduler& scheduler, RandomGenerator& random)
    : key_(key),
      settings_(settings),
      own_news_(std::move(own_news)),
      scheduler_(scheduler),
      random_(random),
      socket_(
          io_context, address,
          [this](std::span<const std::uint8_t> bytes, Endpoint from) { onDatagram(bytes, from); }),
      port_(socket_.localAddress().port) {}

void UdpNewsClient::askNews(Endpoint peer, Revision after, NewsCallback callback) {
  const std::uint64_t question = random_.next();
  const Endpoint to{peer.address, port_};
  const NewsQuestion message{question, after};
  pending_.insert_or_assign(question, Pending{to, message, std::move(callback)});
  send(to, message);
  scheduler_.callAfter(settings_.resend_after, [this, question] { resend(question); });
  scheduler_.callAfter(settings_.give_up_after, [this, question] { giveUp(question); });
}

void UdpNewsClient::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  const auto message = decodeNewsMessage(bytes, key_);
  if (!message) {
    return;
  }
  if (const auto* question = std::get_if<NewsQuestion>(&message.value())) {
    send(from, NewsAnswer{question->question, own_news_(question->after)});
    return;
  }
  onAnswer(std::get<NewsAnswer>(message.value()), from);
}

void UdpNewsClient::onAnswer(const NewsAnswer& answer, Endpoint from) {
  const auto found = pending_.find(answer.question);
  if (found == pending_.end() || found->second.peer != from) {
    return;
  }
  const NewsCallback callback = std::move(found->second.callback);
  pending_.erase(found);
  callback(answer.news);
}

void UdpNewsClient::send(Endpoint to, const NewsMessage& message) {
  socket_.sendBytes(to, encodeNewsMessage(message, key_));
}

void UdpNewsClient::resend(std::uint64_t question) {
  const auto found = pending_.find(question);
  if (found != pending_.end()) {
    send(found->second.peer, found->second.question);
  }
}

void UdpNewsClient::giveUp(std::uint64_t question) {
  const auto found = pending_.find(question);
  if (found == pending_.end()) {
    return;
  }
  const NewsCallback callback = std::move(found->second.callback);
  pending_.erase(found);
  callback(SourceError::NoAnswer);
}

}  // namespace lugfork
