#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/random_generator.h"
#include "common/time_source.h"
#include "flow/retry_budget.h"
#include "wire/datagram.h"

/** Caller library: takes one request through the balancers to its whole answer. */
namespace lugfork {

/** How a call ended. */
enum class CallResult {
  /** The whole answer arrived. */
  Complete,
  /** The request did not run; see retry_after. */
  NotRun,
  /** The request may or may not have run, and may not be repeated. */
  Unknown,
  /** The deadline passed first. */
  DeadlineExceeded,
};

/** Tunables of the caller library. */
struct CallerSettings {
  Duration retransmit_interval = milliseconds(200);
  Duration max_retransmit_interval = seconds(1);
  /** Pieces of the request that may be on the way unconfirmed. */
  std::uint32_t window = 16;
  Duration keepalive_interval = milliseconds(500);
  /** After this long without any datagram the caller probes, since single ways may be cut. */
  Duration probe_delay = milliseconds(800);
  Duration probe_interval = milliseconds(100);
  /** Without any datagram for this long an established flow counts as lost. */
  Duration idle_timeout = seconds(3);
  /** Without a placement for this long the caller gives up opening. */
  Duration open_timeout = seconds(10);
  /** Attempts in all, the first included. */
  std::uint32_t max_attempts = 20;
  Duration backoff_base = milliseconds(100);
  Duration max_backoff = seconds(5);
};

/** One request of a caller. */
struct CallRequest {
  Endpoint service;
  /** Whether the request may run more than once. */
  bool may_repeat = false;
  /** Time for the whole call; zero for no limit. */
  Duration deadline{};
  /** Gives the request's pieces; the argument is the first answer piece still wanted. */
  std::function<std::vector<Bytes>(std::uint32_t)> make_pieces;
};

/** Sends datagrams towards the service address; any balancer may get them. */
class CallerOutputs {
 public:
  virtual ~CallerOutputs() = default;
  virtual void sendToService(const Datagram& datagram) = 0;

  /** One answer piece, in order and once. */
  virtual void onAnswerPiece(const Answer& piece) = 0;
};

/** State machine of one call. Driven by datagrams and ticks; owns no clock and no socket. */
class CallerFlow {
 public:
  /** @param retry_budget shared by the calls of a process; nullptr for no limit. */
  CallerFlow(CallerSettings settings, CallRequest request, FlowId flow,
             const TimeSource& time_source, RandomGenerator& random, CallerOutputs& outputs,
             RetryBudget* retry_budget = nullptr);

  /** Begins the call. */
  void start();

  /** Handles a datagram for this flow; those of other flows and attempts are ignored. */
  void onDatagram(const Datagram& datagram);

  /** Does what is due; to be called every few 10 ms. */
  void onTick();

  /** Gives the call up; the back end is told to stop. */
  void cancel();

  /** @return the result once the call has ended. */
  const std::optional<CallResult>& result() const { return result_; }

  /** @return true while the next attempt waits for its time. */
  bool isBackingOff() const { return state_ == State::BackingOff; }

  /** @return why the last attempt was refused or reset. */
  Reason lastReason() const { return last_reason_; }

  /** @return time after which another try makes sense, for NotRun. */
  Duration retryAfter() const { return retry_after_; }

  const FlowKey& key() const { return key_; }

  /** @return how often an established attempt was lost or reset (each a broken flow). */
  std::uint32_t brokenAttemptCount() const { return breaks_; }

  /** @return the next answer piece wanted; all below have been delivered. */
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

  /** Confirms the whole answer once more where the back end still resends it. */
  void confirmAgain(const Datagram& datagram);

  void beginAttempt();
  void activate(const TokenBytes& token);
  void sendOpen();

  /** Sends the pieces of the window that were not sent since the last resend. */
  void sendWindow();
  void sendAnswerAck();

  /** Does not take the time for which this process stood still for silence of the back end. */
  void noteOwnPause(MonotonicTime now);

  /** Sends one datagram that the back end answers: the first unconfirmed piece or a keepalive. */
  void sendProbe();
  void deliverInOrder();
  void onAttemptBroken(Reason reason, Duration retry_after);

  /** Waits for the given time or longer; ends at once where no attempt or time would be left. */
  void waitToRetry(CallResult result, Duration retry_after);
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
  std::uint32_t next_unconfirmed_ = 0;
  std::uint32_t next_to_send_ = 0;
  std::map<std::uint32_t, Answer> answers_ahead_;
  std::uint32_t next_answer_piece_ = 0;
  std::optional<std::uint32_t> last_answer_piece_;
  MonotonicTime started_at_;
  MonotonicTime attempt_started_at_;
  MonotonicTime last_heard_at_;
  /** The back end has answered this attempt: it knows the flow. */
  bool established_ = false;
  MonotonicTime next_resend_at_;
  MonotonicTime next_keepalive_at_;
  MonotonicTime next_probe_at_;
  MonotonicTime last_tick_at_;
  MonotonicTime retry_at_;
  Duration resend_interval_{};
  std::uint32_t attempts_ = 0;
  std::uint32_t breaks_ = 0;
  /** Result if the call ends while it waits to retry. */
  CallResult pending_result_ = CallResult::NotRun;
  std::optional<CallResult> result_;
  Reason last_reason_ = Reason::None;
  Duration retry_after_{};
};

}  // namespace lugfork
