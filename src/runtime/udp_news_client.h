#pragma once

#include <unordered_map>

#include "common/random_generator.h"
#include "common/scheduler.h"
#include "runtime/udp_endpoint.h"
#include "wire/news_codec.h"

namespace lugfork {

/** Times of a UdpNewsClient. */
struct NewsClientSettings {
  /** A question is sent a second time where no answer came by then. */
  Duration resend_after = milliseconds(150);
  /** Time from the first question after which the balancer counts as silent. */
  Duration give_up_after = milliseconds(450);
};

/** Asks other balancers for the news of their views, and answers them (UDP). */
class UdpNewsClient : public ViewNewsClient {
 public:
  using NewsProvider = std::function<ViewNews(Revision after)>;

  /**
   * @param address where this balancer asks and answers; all of a fleet use one port number.
   * @param own_news gives this balancer's answer.
   */
  UdpNewsClient(boost::asio::io_context& io_context, Endpoint address, const NewsKey& key,
                NewsClientSettings settings, NewsProvider own_news, Scheduler& scheduler,
                RandomGenerator& random);

  /** @param peer the balancer's control address; the port number is this client's own. */
  void askNews(Endpoint peer, Revision after, NewsCallback callback) override;

 private:
  struct Pending {
    Endpoint peer;
    NewsQuestion question;
    NewsCallback callback;
  };

  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  void onAnswer(const NewsAnswer& answer, Endpoint from);
  void send(Endpoint to, const NewsMessage& message);
  void resend(std::uint64_t question);
  void giveUp(std::uint64_t question);

  const NewsKey key_;
  const NewsClientSettings settings_;
  const NewsProvider own_news_;
  Scheduler& scheduler_;
  RandomGenerator& random_;
  UdpEndpoint socket_;
  const std::uint16_t port_;
  std::unordered_map<std::uint64_t, Pending> pending_;
};

}  // namespace lugfork
