#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/random_generator.h"
#include "common/time_source.h"
#include "flow/retry_budget.h"
#include "wire/datagram.h"

/** Client library: runs one request through the balancers until its answer is complete. */
namespace lugfork {

/** How a call ended. */
enum class CallResult {
  /** The complete answer arrived. */
  Complete,
  /** The request did not run; see CallerFlow::retryAfter(). */
  NotRun,
  /** The request may or may not have run, and is not retried any more. */
  Unknown,
  /** The deadline passed before the answer was complete, or the call was cancelled. */
  DeadlineExceeded,
};

/** Settings of the client library. */
struct CallerSettings {
  Duration retransmit_interval = milliseconds(200);
  Duration max_retransmit_interval = seconds(1);
  /** Number of request pieces that may be sent without acknowledgement. */
  std::uint32_t window = 16;
  Duration keepalive_interval = milliseconds(500);
  /**
   * Silence after which the client sends probes. Each may take another path, so that probes get
   * through where only some paths are cut.
   */
  Duration probe_delay = milliseconds(800);
  Duration probe_interval = milliseconds(100);
  /** Silence after which an active flow counts as lost. */
  Duration idle_timeout = seconds(3);
  /** Longest wait for a placement before the attempt fails. */
  Duration open_timeout = seconds(10);
  /** Number of attempts, including the first. */
  std::uint32_t max_attempts = 20;
  Duration backoff_base = milliseconds(100);
  Duration max_backoff = seconds(5);
};

/** One request of a client. */
struct CallRequest {
  Endpoint service;
  /** Whether the request may run more than once. */
  bool may_repeat = false;
  /** Time limit of the call over all attempts, from its start; zero for none. */
  Duration deadline{};
  /** Returns the pieces of the request; the argument is the first answer piece still missing. */
  std::function<std::vector<Bytes>(std::uint32_t)> make_pieces;
};

/** Outputs of a CallerFlow. Datagrams go to the service address; any balancer may receive them. */
class CallerOutputs {
 public:
  virtual ~CallerOutputs() = default;
  virtual void sendToService(const Datagram& datagram) = 0;

  /** Receives each answer piece once and in order. */
  virtual void onAnswerPiece(const Answer& piece) = 0;
};

/** State machine of one call, driven by datagrams and ticks; owns no clock and no socket. */
class CallerFlow {
 public:
  /** @param retry_budget retry budget shared by the calls of a process; nullptr for no limit. */
  CallerFlow(CallerSettings settings, CallRequest request, FlowId flow,
             const TimeSource& time_source, RandomGenerator& random, CallerOutputs& outputs,
             RetryBudget* retry_budget = nullptr);

  /** Starts the call. */
  void start();

  /** Handles a datagram for this flow; those of other flows and attempts are ignored. */
  void onDatagram(const Datagram& datagram);

  /** Handles timeouts, retransmissions and retries; to be called about every 10 ms. */
  void onTick();

  /** Ends the call with DeadlineExceeded and sends a Cancel to the backend of an active flow. */
  void cancel();

  /** @return the result once the call has ended. */
  const std::optional<CallResult>& result() const { return result_; }

  /** @return true while the call waits before the next attempt. */
  bool isBackingOff() const { return state_ == State::BackingOff; }

  /** @return the reason for which the last attempt was refused or reset. */
  Reason lastReason() const { return last_reason_; }

  /** @return the delay after which a retry of a call that ended as NotRun is useful. */
  Duration retryAfter() const { return retry_after_; }

  const FlowKey& key() const { return key_; }

  /** @return number of active attempts that were lost or reset; each counts as a broken flow. */
  std::uint32_t brokenAttemptCount() const { return broken_attempt_count_; }

  /** @return the next missing answer piece; all earlier ones have been delivered. */
  std::uint32_t nextAnswerPiece() const { return next_answer_piece_; }

 private:
  enum class State { Opening, Active, BackingOff, Ended };

  void handle(const Placed& placed);
  void handle(const DataAck& ack);
  void handle(const Answer& answer);
  void handle(const Refused& refused);
  void handle(const Reset& reset);
  template <typename Other>
  void handle(const Other&) {}

  /** Acknowledges the complete answer again if the backend retransmits it. */
  void reacknowledgeAnswer(const Datagram& datagram);

  void beginAttempt();
  void activate(const TokenBytes& token);
  void sendOpen();

  /** Sends the pieces of the window that were not sent since the last retransmission. */
  void sendWindow();
  void sendAnswerAck();

  /** Restarts the silence timeouts if this process was paused: the backend wasn't silent. */
  void detectLocalPause(MonotonicTime now);

  /** Sends a datagram that the backend answers: the first unacknowledged piece or a keepalive. */
  void sendProbe();
  void deliverInOrder();
  void onAttemptBroken(Reason reason, Duration retry_after);

  /** Schedules the next attempt; ends the call with `result` if no attempt or time is left. */
  void scheduleRetry(CallResult result, Duration retry_after);
  void retryWithinBudget();
  void end(CallResult result);
  Duration backoff();
  bool deadlinePassed(MonotonicTime time) const;
  std::uint32_t remainingDeadlineMilliseconds() const;

  const CallerSettings settings_;
  const CallRequest request_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  CallerOutputs& outputs_;
  RetryBudget* const retry_budget_;
  State state_ = State::Opening;
  FlowKey key_;
  TokenBytes token_;
  std::vector<Bytes> pieces_;
  std::uint32_t next_unacknowledged_ = 0;
  std::uint32_t next_to_send_ = 0;
  std::map<std::uint32_t, Answer> out_of_order_answers_;
  std::uint32_t next_answer_piece_ = 0;
  std::optional<std::uint32_t> last_answer_piece_;
  MonotonicTime started_at_;
  MonotonicTime attempt_started_at_;
  MonotonicTime last_received_at_;
  /** The backend has answered this attempt, so it has state for the flow. */
  bool established_ = false;
  MonotonicTime next_retransmit_at_;
  MonotonicTime next_keepalive_at_;
  MonotonicTime next_probe_at_;
  MonotonicTime last_tick_at_;
  MonotonicTime retry_at_;
  Duration retransmit_interval_{};
  std::uint32_t attempts_ = 0;
  std::uint32_t broken_attempt_count_ = 0;
  /** Result if the call ends while it waits for the next attempt. */
  CallResult pending_result_ = CallResult::NotRun;
  std::optional<CallResult> result_;
  Reason last_reason_ = Reason::None;
  Duration retry_after_{};
};

}  // namespace lugfork
