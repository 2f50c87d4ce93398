#pragma once

#include <unordered_map>

#include "common/random_generator.h"
#include "common/scheduler.h"
#include "runtime/udp_endpoint.h"
#include "wire/status_codec.h"

namespace lugfork {

/** Times of a UdpStatusClient. */
struct StatusClientSettings {
  /** A question is sent a second time where no answer came by then. */
  Duration resend_after = milliseconds(150);
  /** Time from the first question after which the balancer counts as silent. */
  Duration give_up_after = milliseconds(450);
};

/** Asks other balancers for the status of their views, and answers them (UDP). */
class UdpStatusClient : public ViewStatusClient {
 public:
  using StatusProvider = std::function<ViewStatus()>;

  /**
   * @param address where this balancer asks and answers; all of a fleet use one port number.
   * @param own_status gives this balancer's answer.
   */
  UdpStatusClient(boost::asio::io_context& io_context, Endpoint address, const StatusKey& key,
                  StatusClientSettings settings, StatusProvider own_status, Scheduler& scheduler,
                  RandomGenerator& random);

  /** @param peer the balancer's control address; the port number is this client's own. */
  void askStatus(Endpoint peer, StatusCallback callback) override;

 private:
  struct Pending {
    Endpoint peer;
    StatusCallback callback;
  };

  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  void onAnswer(const StatusAnswer& answer, Endpoint from);
  void send(Endpoint to, const StatusMessage& message);
  void resend(std::uint64_t question);
  void giveUp(std::uint64_t question);

  const StatusKey key_;
  const StatusClientSettings settings_;
  const StatusProvider own_status_;
  Scheduler& scheduler_;
  RandomGenerator& random_;
  UdpEndpoint socket_;
  const std::uint16_t port_;
  std::unordered_map<std::uint64_t, Pending> pending_;
};

}  // namespace lugfork
