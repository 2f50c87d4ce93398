#pragma once

#include <array>
#include <span>
#include <unordered_map>

#include "common/random_generator.h"
#include "common/time_source.h"
#include "flow/flow_counters.h"
#include "flow/flow_decider.h"
#include "flow/retry_budget.h"
#include "wire/datagram.h"

namespace lugfork {

/** Sends datagrams of the data path. */
class DatagramSender {
 public:
  virtual ~DatagramSender() = default;
  virtual void sendDatagram(Endpoint destination, const Datagram& datagram) = 0;
};

/** Settings of FlowRouter. */
struct FlowRouterSettings : FlowDeciderSettings {
  /** Limit of immediate replacements after a refusal, per service. */
  RetryBudgetSettings retry_budget;
};

/**
 * Data path of a balancer for this project's own datagrams: decodes them, passes them to the
 * FlowDecider and sends the result. Stateless per flow.
 */
class FlowRouter {
 public:
  FlowRouter(FlowRouterSettings settings, const TimeSource& time_source, DatagramSender& sender,
             PlacementEngine& placement, BackendLoadTable& loads, FlowRouterHost& host);

  void setConfiguration(ConfigurationViewPtr configuration);

  /**
   * Handles one datagram from a client, the fabric or a backend.
   * @param from the sender's address; used as the client's where the fabric provides none.
   */
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);

  const FlowCounters& counters() const { return counters_; }

 private:
  void onSprayed(const Sprayed& sprayed);
  void onClientDatagram(const Datagram& datagram, std::span<const std::uint8_t> bytes,
                        Endpoint client);
  void onOpen(const Open& open, Endpoint client);
  /** Handles a refusal; drops it if it names a declared backend but was sent from elsewhere. */
  void onBackendRefusal(const BackendRefusal& refusal, Endpoint from);

  /** Updates the state of the backend; only for refusals sent from its own address. */
  void recordRefusal(const BackendRefusal& refusal, const Backend& backend);

  /** Sends the refusal to the client, with a replacement placement if there is one, or a reset. */
  void forwardRefusal(const BackendRefusal& refusal);

  /** Handles any datagram that carries a token; forwards the bytes unchanged. */
  template <typename TokenDatagram>
  void forwardDatagram(const TokenDatagram& datagram, std::span<const std::uint8_t> bytes,
                       Endpoint client);

  /** Records that the backend works, as shown by an acknowledged piece of its answer. */
  void recordProgress(const AnswerAck& ack, BackendId backend);
  template <typename Other>
  void recordProgress(const Other&, BackendId) {}

  RetryBudget& retryBudgetOf(ServiceId service);

  /** @return a token for the next attempt, the same for duplicates of a refusal; empty if none. */
  TokenBytes placeRetry(const BackendRefusal& refusal, const Service& service);
  TokenBytes sealPlacement(const FlowKey& key, const Service& service, const Backend& backend);
  void rejectOpen(Endpoint client, const FlowKey& key, Reason reason, Duration retry_after);
  void reset(Endpoint client, const FlowKey& key, Reason reason);

  /** Each piece of a refused attempt is refused separately; duplicates get the same token. */
  struct RecentReplacement {
    FlowKey refused;
    TokenBytes token;
  };
  static constexpr std::size_t kRecentReplacementCount = 256;

  const FlowRouterSettings settings_;
  const TimeSource& time_source_;
  DatagramSender& sender_;
  PlacementEngine& placement_;
  BackendLoadTable& loads_;
  FlowRouterHost& host_;
  FlowDecider decider_;
  FlowCounters counters_;
  std::unordered_map<ServiceId, RetryBudget> retry_budgets_;
  std::array<RecentReplacement, kRecentReplacementCount> recent_replacements_;
};

}  // namespace lugfork
