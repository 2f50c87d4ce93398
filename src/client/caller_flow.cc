#include "client/caller_flow.h"

#include <algorithm>
#include <limits>

namespace lugfork {

namespace {

/** A longer gap between ticks means that the client's process was paused. */
constexpr Duration kMaxTickGap = milliseconds(500);

}  // namespace

CallerFlow::CallerFlow(CallerSettings settings, CallRequest request, FlowId flow,
                       const TimeSource& time_source, RandomGenerator& random,
                       CallerOutputs& outputs, RetryBudget* retry_budget)
    : settings_(settings),
      request_(std::move(request)),
      time_source_(time_source),
      random_(random),
      outputs_(outputs),
      retry_budget_(retry_budget),
      key_{flow, 0} {}

void CallerFlow::start() {
  started_at_ = time_source_.monotonicTime();
  if (retry_budget_ != nullptr) {
    retry_budget_->onFirstAttempt();
  }
  beginAttempt();
}

void CallerFlow::onDatagram(const Datagram& datagram) {
  if (state_ == State::Ended) {
    reacknowledgeAnswer(datagram);
    return;
  }
  std::visit([this](const auto& body) { handle(body); }, datagram);
}

void CallerFlow::reacknowledgeAnswer(const Datagram& datagram) {
  const Answer* answer = std::get_if<Answer>(&datagram);
  if (answer != nullptr && answer->key == key_ && result_ == CallResult::Complete) {
    sendAnswerAck();
  }
}

void CallerFlow::onTick() {
  if (state_ == State::Ended) {
    return;
  }
  const MonotonicTime now = time_source_.monotonicTime();
  if (deadlinePassed(now)) {
    cancel();
    return;
  }
  detectLocalPause(now);
  if (state_ == State::BackingOff) {
    if (now >= retry_at_) {
      retryWithinBudget();
    }
    return;
  }
  if (state_ == State::Opening && now - attempt_started_at_ >= settings_.open_timeout) {
    scheduleRetry(CallResult::NotRun, settings_.backoff_base);
    return;
  }
  if (state_ == State::Active && now - last_received_at_ >= settings_.idle_timeout) {
    onAttemptBroken(Reason::None, Duration::zero());
    return;
  }
  if (now >= next_retransmit_at_) {
    retransmit_interval_ = std::min(2 * retransmit_interval_, settings_.max_retransmit_interval);
    next_retransmit_at_ = now + retransmit_interval_;
    if (state_ == State::Opening) {
      sendOpen();
    } else {
      next_to_send_ = next_unacknowledged_;
      sendWindow();
    }
  }
  // A keepalive that arrives before the first piece would reach a backend without state for the
  // flow.
  if (state_ == State::Active && established_ && now >= next_keepalive_at_) {
    sendAnswerAck();
  }
  const bool is_silent = now - last_received_at_ >= settings_.probe_delay;
  if (state_ == State::Active && is_silent && now >= next_probe_at_) {
    next_probe_at_ = now + settings_.probe_interval;
    sendProbe();
  }
}

void CallerFlow::retryWithinBudget() {
  if (retry_budget_ == nullptr || retry_budget_->tryTake()) {
    beginAttempt();
    return;
  }
  scheduleRetry(pending_result_, settings_.backoff_base);
}

void CallerFlow::cancel() {
  if (state_ == State::Ended) {
    return;
  }
  if (state_ == State::Active) {
    outputs_.sendToService(Cancel{request_.service, key_, token_});
  }
  end(CallResult::DeadlineExceeded);
}

void CallerFlow::handle(const Placed& placed) {
  // Further placements of an attempt are ignored: an attempt uses one token.
  if (state_ == State::Opening && placed.key == key_) {
    activate(placed.token);
  }
}

void CallerFlow::handle(const DataAck& ack) {
  if (state_ != State::Active || ack.key != key_) {
    return;
  }
  last_received_at_ = time_source_.monotonicTime();
  established_ = true;
  if (ack.next_expected <= next_unacknowledged_ || ack.next_expected > pieces_.size()) {
    return;
  }
  next_unacknowledged_ = ack.next_expected;
  next_to_send_ = std::max(next_to_send_, next_unacknowledged_);
  retransmit_interval_ = settings_.retransmit_interval;
  next_retransmit_at_ = last_received_at_ + retransmit_interval_;
  sendWindow();
}

void CallerFlow::handle(const Answer& answer) {
  if (state_ != State::Active || answer.key != key_) {
    return;
  }
  last_received_at_ = time_source_.monotonicTime();
  established_ = true;
  next_unacknowledged_ = static_cast<std::uint32_t>(pieces_.size());
  next_to_send_ = next_unacknowledged_;
  if (answer.sequence >= next_answer_piece_) {
    out_of_order_answers_.emplace(answer.sequence, answer);
  }
  if (answer.last) {
    last_answer_piece_ = answer.sequence;
  }
  deliverInOrder();
  if (last_answer_piece_ && next_answer_piece_ > *last_answer_piece_) {
    sendAnswerAck();
    end(CallResult::Complete);
  } else if (next_answer_piece_ % settings_.window == 0) {
    sendAnswerAck();
  }
}

void CallerFlow::handle(const Refused& refused) {
  // Several balancers may answer retransmissions of one Open. Once a placement is in use, a refused
  // retransmission has no bearing on the request; only a refusal of the attempt by the backend has.
  const RefusalScope awaited =
      state_ == State::Active ? RefusalScope::Attempt : RefusalScope::Placement;
  const bool awaiting = state_ == State::Opening || state_ == State::Active;
  if (!awaiting || refused.scope != awaited || refused.key != key_) {
    return;
  }
  last_reason_ = refused.reason;
  const bool has_attempts_left =
      attempts_ < settings_.max_attempts && key_.attempt < std::numeric_limits<std::uint8_t>::max();
  if (!refused.replacement.empty() && has_attempts_left) {
    ++attempts_;
    ++key_.attempt;
    pieces_ = request_.make_pieces(next_answer_piece_);
    activate(refused.replacement);
    return;
  }
  scheduleRetry(CallResult::NotRun, milliseconds(refused.retry_after_ms));
}

void CallerFlow::handle(const Reset& reset) {
  if (state_ == State::Active && reset.key == key_) {
    onAttemptBroken(reset.reason, milliseconds(reset.retry_after_ms));
  }
}

void CallerFlow::beginAttempt() {
  if (attempts_ > 0) {
    ++key_.attempt;
  }
  ++attempts_;
  state_ = State::Opening;
  pieces_ = request_.make_pieces(next_answer_piece_);
  attempt_started_at_ = time_source_.monotonicTime();
  retransmit_interval_ = settings_.retransmit_interval;
  next_retransmit_at_ = attempt_started_at_ + retransmit_interval_;
  sendOpen();
}

void CallerFlow::activate(const TokenBytes& token) {
  const MonotonicTime now = time_source_.monotonicTime();
  state_ = State::Active;
  token_ = token;
  next_unacknowledged_ = 0;
  next_to_send_ = 0;
  out_of_order_answers_.clear();
  last_answer_piece_.reset();
  last_received_at_ = now;
  established_ = false;
  retransmit_interval_ = settings_.retransmit_interval;
  next_retransmit_at_ = now + retransmit_interval_;
  next_keepalive_at_ = now + settings_.keepalive_interval;
  sendWindow();
}

void CallerFlow::sendOpen() {
  outputs_.sendToService(Open{request_.service, key_});
}

void CallerFlow::sendWindow() {
  const auto piece_count = static_cast<std::uint32_t>(pieces_.size());
  const std::uint32_t end = std::min(piece_count, next_unacknowledged_ + settings_.window);
  for (; next_to_send_ < end; ++next_to_send_) {
    const bool last = next_to_send_ + 1 == piece_count;
    outputs_.sendToService(Data{request_.service, key_, token_, next_to_send_, last,
                                remainingDeadlineMilliseconds(), pieces_[next_to_send_]});
  }
}

void CallerFlow::sendAnswerAck() {
  next_keepalive_at_ = time_source_.monotonicTime() + settings_.keepalive_interval;
  outputs_.sendToService(AnswerAck{request_.service, key_, token_, next_answer_piece_});
}

void CallerFlow::detectLocalPause(MonotonicTime now) {
  const bool paused = last_tick_at_ != MonotonicTime() && now - last_tick_at_ >= kMaxTickGap;
  last_tick_at_ = now;
  if (paused) {
    last_received_at_ = now;
  }
}

void CallerFlow::sendProbe() {
  if (next_unacknowledged_ == pieces_.size()) {
    sendAnswerAck();
    return;
  }
  const bool last = next_unacknowledged_ + 1 == pieces_.size();
  outputs_.sendToService(Data{request_.service, key_, token_, next_unacknowledged_, last,
                              remainingDeadlineMilliseconds(), pieces_[next_unacknowledged_]});
}

void CallerFlow::deliverInOrder() {
  auto piece = out_of_order_answers_.find(next_answer_piece_);
  while (piece != out_of_order_answers_.end()) {
    outputs_.onAnswerPiece(piece->second);
    out_of_order_answers_.erase(piece);
    ++next_answer_piece_;
    piece = out_of_order_answers_.find(next_answer_piece_);
  }
}

void CallerFlow::onAttemptBroken(Reason reason, Duration retry_after) {
  ++broken_attempt_count_;
  last_reason_ = reason;
  if (!request_.may_repeat) {
    end(CallResult::Unknown);
    return;
  }
  scheduleRetry(CallResult::Unknown, retry_after);
}

void CallerFlow::scheduleRetry(CallResult result, Duration retry_after) {
  retry_after_ = retry_after;
  const Duration delay = std::max(retry_after, backoff());
  retry_at_ = time_source_.monotonicTime() + delay;
  const bool has_attempts_left =
      attempts_ < settings_.max_attempts && key_.attempt < std::numeric_limits<std::uint8_t>::max();
  if (!has_attempts_left || deadlinePassed(retry_at_)) {
    end(result);
    return;
  }
  pending_result_ = result;
  state_ = State::BackingOff;
}

void CallerFlow::end(CallResult result) {
  state_ = State::Ended;
  result_ = result;
}

Duration CallerFlow::backoff() {
  const std::uint32_t doublings = std::min(attempts_, 10U);
  const Duration ceiling =
      std::min(settings_.max_backoff, settings_.backoff_base * (1U << doublings));
  return Duration(static_cast<std::int64_t>(static_cast<double>(ceiling.count()) * random_.unit()));
}

bool CallerFlow::deadlinePassed(MonotonicTime time) const {
  return request_.deadline > Duration::zero() && time >= started_at_ + request_.deadline;
}

std::uint32_t CallerFlow::remainingDeadlineMilliseconds() const {
  if (request_.deadline == Duration::zero()) {
    return 0;
  }
  const Duration remaining = started_at_ + request_.deadline - time_source_.monotonicTime();
  const auto remaining_ms = std::chrono::duration_cast<milliseconds>(remaining).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, remaining_ms));
}

}  // namespace lugfork
