#pragma once

#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "common/time_source.h"
#include "flow/backend_report.h"
#include "flow/flow_router.h"
#include "sim/work_order.h"

/**
 * Model of a backend: slots, connections, draining, cold start, load shedding, cancellation,
 * deadlines, and load reports that may be stale or wrong. Used by lugfork-standin and the
 * simulator.
 */
namespace lugfork {

/** Settings of BackendModel. */
struct BackendModelSettings {
  BackendId id;
  ServiceId service;
  std::uint32_t slots = 2;
  std::uint32_t connections = 2000;
  /** Requests that may wait for a slot; further ones are refused as overloaded. */
  std::uint32_t queue_limit = 16;
  /** Work takes cold_start_factor times as long during this time after the start. */
  Duration cold_start{};
  double cold_start_factor = 4;
  /** Time after a placement during which its token may start work. */
  Duration placement_lifetime = seconds(3);
  /** Largest difference between two machines' wall clocks. */
  Duration clock_skew = milliseconds(500);
  /** Ended and refused attempts are kept this long, so that late duplicates have no effect. */
  Duration ended_flow_ttl = seconds(60);
  /** A flow without data or acknowledgements from its client for this long ends. */
  Duration idle_timeout = seconds(30);
  Duration resend_interval = milliseconds(200);
  std::uint32_t answer_window = 16;
  /** Retry-after time sent to clients with a refusal. */
  Duration retry_after = milliseconds(500);
};

/** One start of work, as recorded by the backend. */
struct RunRecord {
  FlowKey key;
  WorkKind kind = WorkKind::PreCheck;
  SystemTime placed_at;
  SystemTime admitted_at;
  SystemTime started_at;
  /** The backend was draining when the flow was admitted. */
  bool admitted_while_draining = false;
};

/** Errors added to the load reports of a backend. */
struct ReportDistortion {
  /** Factor applied to the load figures of the report. */
  double factor = 1;
  /** Age of the reported state. */
  Duration lag{};
};

class BackendModel {
 public:
  BackendModel(BackendModelSettings settings, const TimeSource& time_source,
               DatagramSender& sender);

  /** Handles a datagram from a balancer. */
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);

  /** Runs due timers, queued work and answers; call it about every 10 ms. */
  void onTick();

  /** Refuses new flows while draining; established flows continue. */
  void setDraining(bool draining) { draining_ = draining; }

  /** Refuses all new flows as overloaded. */
  void setShedding(bool shedding) { shedding_ = shedding; }
  void setDistortion(ReportDistortion distortion) { distortion_ = distortion; }

  /** @return health and load as reported, including the distortion. */
  BackendReport report() const;

  /** @return the number of flows that have not ended. */
  std::size_t openFlows() const { return open_flows_; }
  const std::vector<RunRecord>& runs() const { return runs_; }

 private:
  enum class FlowState { Receiving, Queued, Working, Answering, Ended, Refused };

  struct Flow {
    FlowState state = FlowState::Receiving;
    Endpoint client;
    Endpoint balancer;
    std::map<std::uint32_t, Bytes> out_of_order_pieces;
    std::uint32_t next_piece = 0;
    std::optional<std::uint32_t> last_piece;
    WorkOrder order;
    RunRecord record;
    bool has_deadline = false;
    MonotonicTime deadline;
    MonotonicTime work_ends_at;
    MonotonicTime answer_started_at;
    std::uint32_t answers_sent = 0;
    std::uint32_t answers_acknowledged = 0;
    MonotonicTime next_resend_at;
    MonotonicTime last_received_at;
    MonotonicTime ended_at;
    Reason refusal = Reason::None;
  };

  void onForward(const Forward& forward, Endpoint balancer);
  void onData(const Data& data, const Forward& forward, Endpoint balancer);
  void onAnswerAck(const AnswerAck& ack, const Forward& forward, Endpoint balancer);
  void onCancel(const Cancel& cancel, const Forward& forward, Endpoint balancer);

  /** @return the reason to refuse a new attempt; Reason::None if it may be admitted. */
  Reason admissionBlockedBy(const Data& data, const Forward& forward) const;
  bool mayHaveRunBeforeRestart(const Data& data) const;

  /** @return true if the attempt may have run, ended and been removed after ended_flow_ttl. */
  bool mayHaveExpired(const Data& data) const;

  /**
   * Within the clock skew of a start, new placements can't be told apart from placements on an
   * earlier incarnation. The backend reports that it is not ready until that time has passed.
   */
  bool isReady() const;
  Flow& admit(const Data& data, const Forward& forward);
  void acceptPiece(Flow& flow, const Data& data);
  void onRequestComplete(const FlowKey& key, Flow& flow);
  void startQueuedWork();
  void startWork(const FlowKey& key, Flow& flow);
  void advance(const FlowKey& key, Flow& flow, MonotonicTime now);
  void sendAnswers(const FlowKey& key, Flow& flow, MonotonicTime now);
  void sendAnswer(const FlowKey& key, const Flow& flow, std::uint32_t sequence);
  std::uint32_t answersDue(const Flow& flow, MonotonicTime now) const;
  void refuseAdmitted(const FlowKey& key, Flow& flow, Reason reason);
  void recordRefusal(const FlowKey& key, Reason reason);
  void sendRefusal(Endpoint balancer, Endpoint client, const FlowKey& key, Reason reason,
                   bool not_run);
  void endFlow(Flow& flow);
  Duration workDuration(const WorkOrder& order) const;
  BackendReport currentReport() const;

  const BackendModelSettings settings_;
  const TimeSource& time_source_;
  DatagramSender& sender_;
  const MonotonicTime started_at_;
  const SystemTime started_at_system_;
  /** Ordered, so that the simulator's trace doesn't depend on hash order. */
  std::map<FlowKey, Flow> flows_;
  std::deque<FlowKey> queue_;
  std::uint32_t busy_slots_ = 0;
  std::size_t open_flows_ = 0;
  bool draining_ = false;
  bool shedding_ = false;
  ReportDistortion distortion_;
  std::deque<BackendReport> past_reports_;
  std::vector<RunRecord> runs_;
};

}  // namespace lugfork
