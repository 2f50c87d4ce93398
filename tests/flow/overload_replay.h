#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>

#include "discovery/evidence_collector.h"
#include "flow/evidence_fixture.h"
#include "flow/packet_router.h"

/**
 * Clients with persistent flows, balancers of one zone that exchange evidence, backends with
 * queues.
 */
namespace lugfork {

/** Mechanisms that keep a balancer from treating an overloaded backend as dead. */
struct Safeguards {
  /** Open flows are reset only on evidence of several balancers. */
  bool shares_evidence = true;
  /** No flow is reset while many backends look silent and then answer. */
  bool limits_false_suspicions = true;
  /** A balancer that was suspended discards the evidence from before. */
  bool detects_delay = true;
};

inline FalseSuspicionSettings falseSuspicionSettings(const Safeguards& safeguards) {
  FalseSuspicionSettings settings;
  settings.min_backends = safeguards.limits_false_suspicions
                              ? settings.min_backends
                              : std::numeric_limits<std::size_t>::max();
  return settings;
}

/** Data path of a balancer; callbacks receive the packets that it sends. */
struct ReplayNode : PacketSender, PacketRouterHost {
  using Forward = std::function<void(BackendId, CompactToken)>;
  using Reset = std::function<void(const FlowPacket&)>;

  ReplayNode(const Safeguards& chosen, ManualTimeSource& clock, RandomGenerator& random,
             const ConfigurationViewPtr& view, Forward on_forward, Reset on_reset)
      : safeguards(chosen),
        forward(std::move(on_forward)),
        reset(std::move(on_reset)),
        silence({.false_suspicions = falseSuspicionSettings(chosen)}, clock, log),
        shared({.false_suspicions = falseSuspicionSettings(chosen)}, silence, clock, log),
        reporter(EvidenceReporterSettings(), "lac", silence, shared, clock),
        loads(LoadEstimateSettings(), clock),
        placement(PlacementSettings(), makePlacementPolicy("bounded_rendezvous"), loads, clock,
                  random),
        decider(FlowDeciderSettings(), clock, placement, *this),
        observer(FlowObserverSettings(), clock),
        router(decider, silence, observer, tokens, *this, *this, log) {
    silence.setServiceLookup([](BackendId) { return ServiceId(1); });
    ConfigurationChanges all;
    all.services = true;
    for (const Backend& backend : view->document().backends) {
      all.backends.push_back(&backend);
    }
    shared.onConfigurationChanged(all, *view);
    reporter.setConfiguration(*view);
    decider.setConfiguration(view);
    decider.setCompactTokens(&tokens);
    const BackendHealth& local_suspicion = silence;
    const BackendHealth& shared_suspicion = shared;
    placement.setBackendHealth(safeguards.shares_evidence ? &shared_suspicion : &local_suspicion);
    placement.setRequestsInFlight(&observer.requestsInFlight());
  }

  void onBehind() {
    if (safeguards.detects_delay) {
      silence.onBehind();
      shared.onBehind();
      observer.onBehind();
    }
  }

  void forwardPacket(const Backend& backend, CompactToken token) override {
    forward(backend.id, token);
  }
  void resetClient(const FlowPacket& packet) override { reset(packet); }
  Reason placementBlockedBy() const override { return Reason::None; }
  void onNewerConfigurationSeen(ConfigVersion) override {}
  void onBackendDraining(BackendId) override {}
  bool viewIsFresh() const override { return true; }
  bool backendListIsComplete() const override { return true; }
  bool resetsFlowsOfDeadBackends() const override { return true; }
  bool requiresPeerEvidence() const override { return safeguards.shares_evidence; }
  ViewStamp viewStamp() const override { return {}; }
  void onHandshake(Duration) override {}
  void onRequest(BackendId) override {}
  void onResponse(BackendId, Duration, ResponseTiming) override {}
  std::optional<DeathEvidence> peerDeathEvidence(BackendId backend,
                                                 std::uint16_t retransmissions) const override {
    return safeguards.shares_evidence ? shared.deathEvidence(backend, retransmissions)
                                      : std::nullopt;
  }

  const Safeguards safeguards;
  const Forward forward;
  const Reset reset;
  NullEventLog log;
  SilenceDetector silence;
  SharedEvidence shared;
  EvidenceReporter reporter;
  BackendLoadTable loads;
  PlacementEngine placement;
  FlowDecider decider;
  FlowObserver observer;
  CompactTokenCodec tokens{CompactTokenKey{9, 9, 9}};
  PacketRouter router;
};

class OverloadReplay {
 public:
  static constexpr std::uint32_t kNodes = 12;
  static constexpr std::uint32_t kBackends = 3 * kBackendsPerZone;
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kQueueLength = 8;
  static constexpr Duration kServiceTime = milliseconds(50);
  static constexpr Duration kThinkTime = milliseconds(300);
  /** After this period nearly all flows go through another balancer. */
  static constexpr Duration kRoutingPeriod = seconds(3);
  /** When the clients beyond the initial load start. */
  static constexpr Duration kSurgeAt = seconds(4);
  static constexpr Duration kStallDuration = milliseconds(700);
  /** Clients abandon an opening, and a request of an open flow, after these times. */
  static constexpr Duration kOpeningTimeout = milliseconds(1400);
  static constexpr Duration kRequestTimeout = seconds(3);

  struct Result {
    int answered = 0;
    /** Resets of open flows whose backend is alive. */
    int wrong_resets = 0;
    /** Resets of open flows of the failed backend. */
    int correct_resets = 0;
    /** Openings forwarded to the failed backend after its failure. */
    int lost_openings = 0;
  };

  /** Suspends three balancers for 0.7 s of every 2 s; their packets are delayed. */
  void enableStalls() { stalled_nodes_ = 3; }

  /**
   * @param load requests offered, as a ratio to the capacity of the backends' slots.
   * @param initial_load the part of it that is offered from the start; the rest starts at kSurgeAt.
   */
  OverloadReplay(std::uint64_t seed, const Safeguards& safeguards, double load,
                 double initial_load = 100)
      : random_(makeSeededRandom(seed)),
        view_(viewOf(threeZones())),
        collector_(EvidenceCollectorSettings(), "lac", time_, log_,
                   [this](Endpoint to, const EvidenceDigest& digest) {
                     nodes_.at(to.port)->shared.onDigest(digest);
                   }) {
    for (std::uint32_t index = 0; index < kNodes; ++index) {
      nodes_.push_back(std::make_unique<ReplayNode>(
          safeguards, time_, *random_, view_,
          [this](BackendId backend, CompactToken token) { onForward(backend, token); },
          [this](const FlowPacket& packet) { onReset(packet); }));
    }
    const double requests_per_second = load * kBackends * kSlots * seconds(1) / kServiceTime;
    const double cycle = std::chrono::duration<double>(kServiceTime + kThinkTime).count();
    flows_.resize(static_cast<std::size_t>(requests_per_second * cycle));
    for (std::size_t index = 0; index < flows_.size(); ++index) {
      const bool is_initial =
          load * static_cast<double>(index) < initial_load * static_cast<double>(flows_.size());
      after(scaled(kThinkTime) + (is_initial ? Duration::zero() : kSurgeAt),
            [this, &flow = flows_[index]] { open(flow); });
    }
    exchangeEvidence();
  }

  void kill(BackendId backend, Duration when) {
    after(when, [this, backend] { dead_ = backend; });
  }

  Result run(Duration duration) {
    const MonotonicTime end = time_.monotonicTime() + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      time_.elapsed = event.key().time_since_epoch();
      event.mapped()();
    }
    return result_;
  }

 private:
  struct Flow {
    Endpoint client;
    CompactToken token;
    BackendId backend;
    bool open = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    /** Number of the current opening or request; timers of earlier ones are ignored. */
    int attempt = 0;
    /** Last attempt that the backend accepted. */
    int accepted_attempt = 0;
  };

  struct BackendState {
    std::array<MonotonicTime, kSlots> free_at{};
    std::size_t request_count = 0;
  };

  void after(Duration delay, std::function<void()> event) {
    events_.emplace(time_.monotonicTime() + delay, std::move(event));
  }

  Duration scaled(Duration mean) {
    return std::chrono::duration_cast<Duration>(mean * (0.5 + random_->unit()));
  }

  FlowPacket packetOf(const Flow& flow) const {
    FlowPacket packet;
    packet.client = flow.client;
    packet.service = kListen;
    packet.token = flow.token;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    return packet;
  }

  void send(Flow& flow, const FlowPacket& packet) {
    const auto period = static_cast<std::uint64_t>(time_.elapsed / kRoutingPeriod);
    const std::uint64_t hash = (flow.client.port + period * 7919) * 0x9e3779b97f4a7c15ULL;
    const std::size_t node = (hash >> 32) % kNodes;
    const Duration delay = delayAt(node);
    if (delay == Duration::zero()) {
      deliver(node, flow, packet);
      return;
    }
    after(delay, [this, node, &flow, packet, was_stalled_at = time_.monotonicTime()] {
      if (resumed_at_[node] < was_stalled_at) {
        resumed_at_[node] = time_.monotonicTime();
        nodes_[node]->onBehind();
      }
      deliver(node, flow, packet);
    });
  }

  /** @return time until the node resumes. */
  Duration delayAt(std::size_t node) const {
    const Duration phase = (time_.elapsed + node * milliseconds(300)) % seconds(2);
    const bool is_stalled = node < stalled_nodes_ && phase < kStallDuration;
    return is_stalled ? kStallDuration - phase : Duration::zero();
  }

  void deliver(std::size_t node, Flow& flow, const FlowPacket& packet) {
    current_flow_ = &flow;
    current_client_ = packet.client;
    expects_answer_ = packet.opens || packet.payload_bytes > 0;
    nodes_[node]->router.onPacket(packet);
  }

  /** Transmits now and after 0.2, 0.6 and 1.4 s until the attempt is answered or abandoned. */
  void attempt(Flow& flow, Duration timeout,
               const std::function<void(std::uint32_t retransmission)>& transmit) {
    const int attempt = ++flow.attempt;
    const auto unless_answered = [this, &flow, attempt](Duration delay, auto event) {
      after(delay, [&flow, attempt, event] {
        if (flow.attempt == attempt) {
          event();
        }
      });
    };
    unless_answered(timeout, [this, &flow] { abandon(flow); });
    std::uint32_t retransmission = 0;
    for (const Duration delay : {milliseconds(200), milliseconds(600), milliseconds(1400)}) {
      ++retransmission;
      if (delay < timeout) {
        unless_answered(delay, [transmit, retransmission] { transmit(retransmission); });
      }
    }
    transmit(0);
  }

  void open(Flow& flow) {
    const int attempts = flow.attempt;
    flow = Flow();
    flow.attempt = attempts;
    flow.client = {kClient.address, ++last_port_};
    attempt(flow, kOpeningTimeout, [this, &flow](std::uint32_t retransmission) {
      FlowPacket packet = packetOf(flow);
      packet.opens = true;
      packet.acknowledged = retransmission;
      send(flow, packet);
    });
  }

  void request(Flow& flow) {
    attempt(flow, kRequestTimeout, [this, &flow](std::uint32_t) {
      FlowPacket packet = packetOf(flow);
      packet.payload_bytes = 100;
      send(flow, packet);
    });
  }

  void abandon(Flow& flow) {
    if (flow.open) {
      FlowPacket packet = packetOf(flow);
      packet.aborts = true;
      send(flow, packet);
    }
    open(flow);
  }

  void onReset(const FlowPacket& packet) {
    Flow& flow = *current_flow_;
    if (packet.client != flow.client) {
      return;
    }
    if (!packet.opens) {
      (flow.backend == dead_ ? result_.correct_resets : result_.wrong_resets) += 1;
    }
    ++flow.attempt;
    after(milliseconds(20), [this, &flow] { open(flow); });
  }

  void onForward(BackendId backend, CompactToken token) {
    Flow& flow = *current_flow_;
    if (current_client_ != flow.client) {
      return;
    }
    BackendState& state = backends_[backend];
    if (backend == dead_) {
      result_.lost_openings += flow.open ? 0 : 1;
      return;
    }
    // An overloaded backend does not answer; an opening takes no slot.
    if (!expects_answer_ || state.request_count >= kSlots + kQueueLength) {
      return;
    }
    if (!flow.open) {
      flow.open = true;
      flow.token = token;
      flow.backend = backend;
      flow.acknowledged = 1;
      ++flow.attempt;
      after(milliseconds(1), [this, &flow, attempt = flow.attempt] {
        if (flow.attempt == attempt) {
          request(flow);
        }
      });
      return;
    }
    if (flow.accepted_attempt != flow.attempt) {
      process(flow, state);
    }
  }

  void process(Flow& flow, BackendState& state) {
    flow.accepted_attempt = flow.attempt;
    MonotonicTime& slot = *std::min_element(state.free_at.begin(), state.free_at.end());
    slot = std::max(slot, time_.monotonicTime()) + scaled(kServiceTime);
    ++state.request_count;
    after(slot - time_.monotonicTime(), [this, &flow, &state, attempt = flow.attempt] {
      --state.request_count;
      if (flow.attempt == attempt && flow.backend != dead_) {
        onAnswer(flow);
      }
    });
  }

  void onAnswer(Flow& flow) {
    ++result_.answered;
    ++flow.attempt;
    flow.sequence += 100;
    flow.acknowledged += 500;
    send(flow, packetOf(flow));
    after(scaled(kThinkTime), [this, &flow, attempt = flow.attempt] {
      if (flow.attempt == attempt) {
        request(flow);
      }
    });
  }

  /** The first node sums the reports of its zone; the others report every 100 ms. */
  void exchangeEvidence() {
    for (std::uint16_t index = 0; index < kNodes; ++index) {
      if (const auto report = nodes_[index]->reporter.next()) {
        if (index == 0) {
          collector_.onLocalReport(*report);
        } else {
          collector_.onReport(*report, {kClient.address, index});
        }
      }
    }
    collector_.sendDigests();
    nodes_[0]->shared.onDigest(collector_.digest());
    for (const auto& node : nodes_) {
      node->shared.refresh();
    }
    after(milliseconds(100), [this] { exchangeEvidence(); });
  }

  ManualTimeSource time_;
  NullEventLog log_;
  std::unique_ptr<RandomGenerator> random_;
  ConfigurationViewPtr view_;
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::vector<std::unique_ptr<ReplayNode>> nodes_;
  EvidenceCollector collector_;
  std::map<BackendId, BackendState> backends_;
  std::vector<Flow> flows_;
  std::size_t stalled_nodes_ = 0;
  std::array<MonotonicTime, kNodes> resumed_at_{};
  Flow* current_flow_ = nullptr;
  /** Client of the current packet; its flow may have been abandoned meanwhile. */
  Endpoint current_client_;
  /** The current packet requires an answer. */
  bool expects_answer_ = false;
  std::uint16_t last_port_ = 0;
  BackendId dead_;
  Result result_;
};

}  // namespace lugfork
