#include "flow/flow_observer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lugfork {

namespace {

std::size_t slotIndex(const FlowId& flow, std::size_t size) {
  const std::uint64_t content[] = {flow.high, flow.low};
  return XXH3_64bits(content, sizeof(content)) % size;
}

/** @return true if a sequence number is after another; sequence numbers wrap around. */
bool isAfter(std::uint32_t number, std::uint32_t other) {
  return static_cast<std::int32_t>(number - other) > 0;
}

}  // namespace

FlowObserver::FlowObserver(FlowObserverSettings settings, const TimeSource& time_source)
    : settings_(settings),
      time_source_(time_source),
      flows_(std::max<std::size_t>(settings.max_flows, 1)),
      in_flight_(time_source) {}

const ObservedFlow* FlowObserver::find(const FlowId& flow) const {
  const ObservedFlow& slot = slotOf(flow);
  return slot.flow == flow ? &slot : nullptr;
}

void FlowObserver::onPlaced(const FlowPacket& packet, BackendId backend) {
  ObservedFlow& slot = slotOf(packet.flow());
  if (slot.flow == packet.flow()) {
    in_flight_.end(slot.backend, slot.flow);
  }
  slot = ObservedFlow();
  slot.flow = packet.flow();
  slot.backend = backend;
  in_flight_.begin(backend, slot.flow, settings_.opening_ttl);
  slot.next_sequence = packet.sequence;
  slot.sequence_at_progress = packet.sequence;
  slot.progress_at = time_source_.monotonicTime();
}

FlowObservation FlowObserver::onContinuation(const FlowPacket& packet, BackendId backend) {
  const FlowId flow = packet.flow();
  ObservedFlow& slot = slotOf(flow);
  const std::uint32_t end = packet.sequence + packet.payload_bytes;
  const bool is_new = slot.flow != flow || slot.backend != backend;
  if (is_new) {
    slot = ObservedFlow();
    slot.flow = flow;
    slot.backend = backend;
    slot.next_sequence = end;
    slot.sequence_at_progress = packet.sequence;
    slot.acknowledged = packet.acknowledged;
    slot.open = true;
    slot.progress_at = time_source_.monotonicTime();
    FlowObservation first_seen;
    if (packet.payload_bytes > 0) {
      in_flight_.begin(backend, flow, settings_.request_ttl);
      first_seen.begins_request = true;
    }
    return first_seen;
  }
  const RequestObservation request = recordRequest(slot, packet);
  const bool is_retransmission = packet.payload_bytes > 0 && !isAfter(end, slot.next_sequence);
  if (isAfter(end, slot.next_sequence)) {
    slot.next_sequence = end;
  }
  const bool window_moved = isAfter(end, slot.sequence_at_progress + settings_.window_bytes);
  if (!slot.open || window_moved || isAfter(packet.acknowledged, slot.acknowledged)) {
    FlowObservation observation = recordProgress(slot, packet);
    observation.response = request.response;
    if (observation.retransmissions > 0) {
      observation.timing = ResponseTiming::Retransmitted;
    } else if (packet.closes) {
      observation.timing = ResponseTiming::Prompt;
    }
    observation.begins_request = request.begins;
    return observation;
  }
  FlowObservation observation;
  observation.begins_request = request.begins;
  if (is_retransmission && recordRetransmission(slot)) {
    observation.evidence = FlowEvidence::Silence;
    observation.retransmissions = slot.retransmissions;
  }
  return observation;
}

FlowObserver::RequestObservation FlowObserver::recordRequest(ObservedFlow& flow,
                                                             const FlowPacket& packet) {
  const MonotonicTime now = time_source_.monotonicTime();
  const bool is_answered = flow.open && flow.request_at != MonotonicTime() &&
                           isAfter(packet.acknowledged, flow.acknowledged);
  RequestObservation observation;
  observation.response = is_answered ? now - flow.request_at : Duration::zero();
  if (is_answered) {
    flow.request_at = MonotonicTime();
    in_flight_.end(flow.backend, flow.flow);
  }
  if (packet.payload_bytes > 0 && flow.request_at == MonotonicTime()) {
    flow.request_at = now;
    observation.begins = true;
    in_flight_.begin(flow.backend, flow.flow, settings_.request_ttl);
  }
  return observation;
}

FlowObservation FlowObserver::recordProgress(ObservedFlow& flow, const FlowPacket& packet) {
  const MonotonicTime now = time_source_.monotonicTime();
  const Duration handshake = flow.open ? Duration::zero() : now - flow.progress_at;
  if (!flow.open) {
    // Clients open a flow only when they have a request to send.
    in_flight_.begin(flow.backend, flow.flow, settings_.request_ttl);
  }
  flow.open = true;
  flow.acknowledged = packet.acknowledged;
  flow.sequence_at_progress = flow.next_sequence;
  flow.progress_at = now;
  FlowObservation observation;
  observation.evidence = FlowEvidence::Progress;
  observation.handshake = handshake;
  observation.retransmissions = std::exchange(flow.retransmissions, std::uint16_t{0});
  return observation;
}

bool FlowObserver::recordRetransmission(ObservedFlow& flow) const {
  const MonotonicTime now = time_source_.monotonicTime();
  if (flow.retransmitted_at <= behind_at_) {
    flow.retransmissions = 0;
  }
  const MonotonicTime last = std::max({flow.retransmitted_at, flow.progress_at, behind_at_});
  if (now - last < settings_.min_retransmission_interval) {
    return false;
  }
  flow.retransmitted_at = now;
  ++flow.retransmissions;
  return true;
}

void FlowObserver::onRestart(BackendId backend) {
  for (ObservedFlow& flow : flows_) {
    if (flow.backend == backend) {
      flow = ObservedFlow();
    }
  }
  in_flight_.remove(backend);
}

void FlowObserver::remove(const FlowId& flow) {
  ObservedFlow& slot = slotOf(flow);
  if (slot.flow == flow) {
    in_flight_.end(slot.backend, flow);
    slot = ObservedFlow();
  }
}

ObservedFlow& FlowObserver::slotOf(const FlowId& flow) {
  return flows_[slotIndex(flow, flows_.size())];
}

const ObservedFlow& FlowObserver::slotOf(const FlowId& flow) const {
  return flows_[slotIndex(flow, flows_.size())];
}

}  // namespace lugfork
