#include "sim/backend_model.h"

#include <algorithm>
#include <iterator>

#include "flow/token.h"
#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

constexpr std::size_t kMaxPastReports = 1000;

}  // namespace

BackendModel::BackendModel(BackendModelSettings settings, const TimeSource& time_source,
                           DatagramSender& sender)
    : settings_(settings),
      time_source_(time_source),
      sender_(sender),
      started_at_(time_source.monotonicTime()),
      started_at_system_(time_source.systemTime()) {}

void BackendModel::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  const auto decoded = decodeDatagram(bytes);
  if (!decoded) {
    return;
  }
  if (const auto* forward = std::get_if<Forward>(&decoded.value())) {
    onForward(*forward, from);
  }
}

void BackendModel::onForward(const Forward& forward, Endpoint balancer) {
  const auto decoded = decodeDatagram(forward.datagram);
  if (!decoded) {
    return;
  }
  if (const auto* data = std::get_if<Data>(&decoded.value())) {
    onData(*data, forward, balancer);
  } else if (const auto* ack = std::get_if<AnswerAck>(&decoded.value())) {
    onAnswerAck(*ack, forward, balancer);
  } else if (const auto* cancel = std::get_if<Cancel>(&decoded.value())) {
    onCancel(*cancel, forward, balancer);
  }
}

void BackendModel::onData(const Data& data, const Forward& forward, Endpoint balancer) {
  if (forward.backend != settings_.id || forward.service != settings_.service) {
    sendRefusal(balancer, forward.client, data.key, Reason::WrongBackend, false);
    return;
  }
  auto found = flows_.find(data.key);
  if (found == flows_.end()) {
    if (mayHaveRunBeforeRestart(data) || mayHaveExpired(data)) {
      sendRefusal(balancer, forward.client, data.key, Reason::BackendGone, false);
      return;
    }
    const Reason blocked_by = admissionBlockedBy(data, forward);
    if (blocked_by != Reason::None) {
      recordRefusal(data.key, blocked_by);
      sendRefusal(balancer, forward.client, data.key, blocked_by, true);
      return;
    }
    admit(data, forward);
    found = flows_.find(data.key);
  }
  Flow& flow = found->second;
  if (flow.state == FlowState::Refused) {
    sendRefusal(balancer, forward.client, data.key, flow.refusal, true);
    return;
  }
  flow.client = forward.client;
  flow.balancer = balancer;
  flow.last_received_at = time_source_.monotonicTime();
  if (flow.state == FlowState::Receiving) {
    acceptPiece(flow, data);
  }
  sender_.sendDatagram(flow.client, DataAck{data.key, flow.next_piece});
  const bool complete = flow.last_piece && flow.next_piece > *flow.last_piece;
  if (flow.state == FlowState::Receiving && complete) {
    onRequestComplete(data.key, flow);
  }
}

void BackendModel::onAnswerAck(const AnswerAck& ack, const Forward& forward, Endpoint balancer) {
  const auto found = flows_.find(ack.key);
  if (found == flows_.end()) {
    sendRefusal(balancer, forward.client, ack.key, Reason::BackendGone, false);
    return;
  }
  Flow& flow = found->second;
  if (flow.state == FlowState::Refused) {
    sendRefusal(balancer, forward.client, ack.key, flow.refusal, true);
    return;
  }
  flow.client = forward.client;
  flow.balancer = balancer;
  flow.last_received_at = time_source_.monotonicTime();
  flow.answers_acknowledged = std::max(flow.answers_acknowledged, ack.next_expected);
  if (flow.state == FlowState::Answering && flow.answers_acknowledged >= flow.order.answer_pieces) {
    endFlow(flow);
    return;
  }
  sender_.sendDatagram(flow.client, DataAck{ack.key, flow.next_piece});
}

void BackendModel::onCancel(const Cancel& cancel, const Forward& forward, Endpoint balancer) {
  const auto found = flows_.find(cancel.key);
  if (found == flows_.end()) {
    recordRefusal(cancel.key, Reason::Cancelled);
    return;
  }
  Flow& flow = found->second;
  flow.client = forward.client;
  flow.balancer = balancer;
  if (flow.state == FlowState::Receiving || flow.state == FlowState::Queued) {
    refuseAdmitted(cancel.key, flow, Reason::Cancelled);
  } else if (flow.state == FlowState::Working || flow.state == FlowState::Answering) {
    endFlow(flow);
  }
}

bool BackendModel::isReady() const {
  return time_source_.monotonicTime() - started_at_ >= 2 * settings_.clock_skew;
}

bool BackendModel::mayHaveRunBeforeRestart(const Data& data) const {
  return tokenPlacementTime(data.token) < started_at_system_ + settings_.clock_skew;
}

bool BackendModel::mayHaveExpired(const Data& data) const {
  const Duration age = time_source_.systemTime() - tokenPlacementTime(data.token);
  return age >= settings_.ended_flow_ttl - settings_.clock_skew;
}

Reason BackendModel::admissionBlockedBy(const Data& data, const Forward& forward) const {
  const Duration age = time_source_.systemTime() - tokenPlacementTime(data.token);
  const bool expired = age > settings_.placement_lifetime + settings_.clock_skew;
  if (forward.mode == ForwardMode::ContinueOnly || expired) {
    return Reason::PlacementExpired;
  }
  if (draining_) {
    return Reason::Draining;
  }
  const bool queue_full = queue_.size() >= settings_.queue_limit;
  if (shedding_ || queue_full || open_flows_ >= settings_.connections) {
    return Reason::Overloaded;
  }
  return Reason::None;
}

BackendModel::Flow& BackendModel::admit(const Data& data, const Forward& forward) {
  Flow& flow = flows_[data.key];
  ++open_flows_;
  flow.client = forward.client;
  flow.record.key = data.key;
  flow.record.placed_at = tokenPlacementTime(data.token);
  flow.record.admitted_at = time_source_.systemTime();
  flow.record.admitted_while_draining = draining_;
  flow.has_deadline = data.deadline_ms > 0;
  flow.deadline = time_source_.monotonicTime() + milliseconds(data.deadline_ms);
  return flow;
}

void BackendModel::acceptPiece(Flow& flow, const Data& data) {
  if (data.last) {
    flow.last_piece = data.sequence;
  }
  if (data.sequence < flow.next_piece) {
    return;
  }
  flow.out_of_order_pieces.emplace(data.sequence, data.payload);
  auto piece = flow.out_of_order_pieces.find(flow.next_piece);
  while (piece != flow.out_of_order_pieces.end()) {
    if (flow.next_piece == 0) {
      const auto order = decodeWorkOrder(piece->second);
      flow.order = order ? order.value() : WorkOrder{};
    }
    flow.out_of_order_pieces.erase(piece);
    ++flow.next_piece;
    piece = flow.out_of_order_pieces.find(flow.next_piece);
  }
}

void BackendModel::onRequestComplete(const FlowKey& key, Flow& flow) {
  if (queue_.size() >= settings_.queue_limit) {
    refuseAdmitted(key, flow, Reason::Overloaded);
    return;
  }
  flow.state = FlowState::Queued;
  queue_.push_back(key);
  startQueuedWork();
}

void BackendModel::startQueuedWork() {
  while (busy_slots_ < settings_.slots && !queue_.empty()) {
    const FlowKey key = queue_.front();
    queue_.pop_front();
    const auto found = flows_.find(key);
    if (found != flows_.end() && found->second.state == FlowState::Queued) {
      startWork(key, found->second);
    }
  }
}

void BackendModel::startWork(const FlowKey&, Flow& flow) {
  ++busy_slots_;
  flow.state = FlowState::Working;
  flow.work_ends_at = time_source_.monotonicTime() + workDuration(flow.order);
  flow.record.kind = flow.order.kind;
  flow.record.started_at = time_source_.systemTime();
  runs_.push_back(flow.record);
}

void BackendModel::onTick() {
  const MonotonicTime now = time_source_.monotonicTime();
  for (auto entry = flows_.begin(); entry != flows_.end();) {
    Flow& flow = entry->second;
    const bool finished = flow.state == FlowState::Ended || flow.state == FlowState::Refused;
    if (finished && now - flow.ended_at >= settings_.ended_flow_ttl) {
      entry = flows_.erase(entry);
      continue;
    }
    if (!finished) {
      advance(entry->first, flow, now);
    }
    ++entry;
  }
  startQueuedWork();
  past_reports_.push_back(currentReport());
  if (past_reports_.size() > kMaxPastReports) {
    past_reports_.pop_front();
  }
}

void BackendModel::advance(const FlowKey& key, Flow& flow, MonotonicTime now) {
  const bool deadline_passed = flow.has_deadline && now >= flow.deadline;
  const bool not_started = flow.state == FlowState::Receiving || flow.state == FlowState::Queued;
  const bool idle = now - flow.last_received_at >= settings_.idle_timeout;
  if (not_started && (deadline_passed || idle)) {
    refuseAdmitted(key, flow, Reason::DeadlineExceeded);
    return;
  }
  if (deadline_passed || idle) {
    endFlow(flow);
    return;
  }
  if (flow.state == FlowState::Working && now >= flow.work_ends_at) {
    --busy_slots_;
    flow.state = FlowState::Answering;
    flow.answer_started_at = now;
    flow.answers_sent = flow.order.first_answer_piece;
    flow.answers_acknowledged = std::max(flow.answers_acknowledged, flow.order.first_answer_piece);
  }
  if (flow.state == FlowState::Answering) {
    sendAnswers(key, flow, now);
  }
}

void BackendModel::sendAnswers(const FlowKey& key, Flow& flow, MonotonicTime now) {
  const std::uint32_t due = answersDue(flow, now);
  const std::uint32_t window_end = flow.answers_acknowledged + settings_.answer_window;
  const std::uint32_t sent_before = flow.answers_sent;
  while (flow.answers_sent < std::min(due, window_end)) {
    sendAnswer(key, flow, flow.answers_sent);
    ++flow.answers_sent;
  }
  if (flow.answers_sent != sent_before) {
    flow.next_resend_at = now + settings_.resend_interval;
  }
  if (now >= flow.next_resend_at && flow.answers_acknowledged < flow.answers_sent) {
    flow.next_resend_at = now + settings_.resend_interval;
    for (std::uint32_t sequence = flow.answers_acknowledged; sequence < flow.answers_sent;
         ++sequence) {
      sendAnswer(key, flow, sequence);
    }
  }
}

void BackendModel::sendAnswer(const FlowKey& key, const Flow& flow, std::uint32_t sequence) {
  Answer answer;
  answer.key = key;
  answer.service = settings_.service;
  answer.backend = settings_.id;
  answer.sequence = sequence;
  answer.last = sequence + 1 >= flow.order.answer_pieces;
  answer.payload = answerPayload(settings_.service, key.flow, sequence);
  sender_.sendDatagram(flow.client, answer);
}

std::uint32_t BackendModel::answersDue(const Flow& flow, MonotonicTime now) const {
  if (flow.order.answer_interval_ms == 0) {
    return flow.order.answer_pieces;
  }
  const Duration elapsed = now - flow.answer_started_at;
  const auto intervals = elapsed / milliseconds(flow.order.answer_interval_ms);
  const std::uint64_t due =
      flow.order.first_answer_piece + 1 + static_cast<std::uint64_t>(intervals);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(due, flow.order.answer_pieces));
}

void BackendModel::refuseAdmitted(const FlowKey& key, Flow& flow, Reason reason) {
  endFlow(flow);
  flow.state = FlowState::Refused;
  flow.refusal = reason;
  sendRefusal(flow.balancer, flow.client, key, reason, true);
}

void BackendModel::recordRefusal(const FlowKey& key, Reason reason) {
  Flow& flow = flows_[key];
  flow.state = FlowState::Refused;
  flow.refusal = reason;
  flow.ended_at = time_source_.monotonicTime();
}

void BackendModel::sendRefusal(Endpoint balancer, Endpoint client, const FlowKey& key,
                               Reason reason, bool not_run) {
  sender_.sendDatagram(balancer,
                       BackendRefusal{client, key, settings_.service, settings_.id, reason, not_run,
                                      toWireMilliseconds(settings_.retry_after)});
}

void BackendModel::endFlow(Flow& flow) {
  if (flow.state == FlowState::Working) {
    --busy_slots_;
  }
  --open_flows_;
  flow.state = FlowState::Ended;
  flow.ended_at = time_source_.monotonicTime();
}

Duration BackendModel::workDuration(const WorkOrder& order) const {
  const bool cold = time_source_.monotonicTime() - started_at_ < settings_.cold_start;
  const double factor = cold ? settings_.cold_start_factor : 1;
  return Duration(static_cast<std::int64_t>(order.work_ms * 1000.0 * factor));
}

BackendReport BackendModel::report() const {
  const BackendReport now = currentReport();
  const std::uint64_t state_at = now.measured_at_ms - toWireMilliseconds(distortion_.lag);
  BackendReport reported = now;
  if (distortion_.lag > Duration::zero() && !past_reports_.empty()) {
    const auto past = std::find_if(
        past_reports_.begin(), past_reports_.end(),
        [&](const BackendReport& candidate) { return candidate.measured_at_ms >= state_at; });
    reported = past == past_reports_.end() ? past_reports_.back() : *past;
    reported.measured_at_ms = now.measured_at_ms;
  }
  const auto distort = [&](std::uint32_t value) {
    return static_cast<std::uint32_t>(value * distortion_.factor);
  };
  reported.open_connections = distort(reported.open_connections);
  reported.busy_slots = distort(reported.busy_slots);
  reported.queued_requests = distort(reported.queued_requests);
  return reported;
}

BackendReport BackendModel::currentReport() const {
  BackendReport report;
  report.backend = settings_.id;
  report.reachable = true;
  report.draining = draining_ || !isReady();
  report.open_connections = static_cast<std::uint32_t>(open_flows_);
  report.busy_slots = busy_slots_;
  report.queued_requests = static_cast<std::uint32_t>(queue_.size());
  report.uptime_ms = toWireMilliseconds(time_source_.monotonicTime() - started_at_);
  report.measured_at_ms = toUnixMilliseconds(time_source_.systemTime());
  return report;
}

}  // namespace lugfork
