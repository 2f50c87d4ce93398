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

/** Tunables of the data path. */
struct FlowRouterSettings : FlowDeciderSettings {
  /** Limits immediate placements after a refusal, for each service. */
  RetryBudgetSettings retry_budget;
};

/**
 * The data path of a balancer for the product's own datagrams: reads them, has the FlowDecider
 * decide, and sends what follows. Keeps no state for a flow.
 */
class FlowRouter {
 public:
  FlowRouter(FlowRouterSettings settings, const TimeSource& time_source, DatagramSender& sender,
             PlacementEngine& placement, BackendLoadTable& loads, FlowRouterHost& host);

  void setConfiguration(ConfigurationViewPtr configuration);

  /**
   * Handles one datagram from a caller, the fabric or a back end.
   * @param from the sender's address; stands for the caller where the fabric gives none.
   */
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);

  const FlowCounters& counters() const { return counters_; }

 private:
  void onSprayed(const Sprayed& sprayed);
  void onClientDatagram(const Datagram& datagram, std::span<const std::uint8_t> bytes,
                        Endpoint client);
  void onOpen(const Open& open, Endpoint client);
  /** Drops a refusal that names a declared back end but does not come from its address. */
  void onBackendRefusal(const BackendRefusal& refusal, Endpoint from);

  /** Updates the view of the back end; only for refusals that come from its own address. */
  void recordRefusal(const BackendRefusal& refusal, const Backend& backend);

  /** Gives the caller its final answer at once, with a new placement where there is one. */
  void forwardRefusal(const BackendRefusal& refusal);

  /** Handles any datagram that carries a token; forwards the bytes as they are. */
  template <typename TokenDatagram>
  void forwardDatagram(const TokenDatagram& datagram, std::span<const std::uint8_t> bytes,
                       Endpoint client);

  /** Learns from a confirmed piece of an answer that the back end works. */
  void recordProgress(const AnswerAck& ack, BackendId backend);
  template <typename Other>
  void recordProgress(const Other&, BackendId) {}

  RetryBudget& retryBudgetOf(ServiceId service);

  /** @return a token for the next attempt, the same for copies of one refusal; or nothing. */
  TokenBytes placeRetry(const BackendRefusal& refusal, const Service& service);
  TokenBytes sealPlacement(const FlowKey& key, const Service& service, const Backend& backend);
  void rejectOpen(Endpoint client, const FlowKey& key, Reason reason, Duration retry_after);
  void reset(Endpoint client, const FlowKey& key, Reason reason);

  /** Every piece of a refused attempt is refused again; the copies get the same answer. */
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
