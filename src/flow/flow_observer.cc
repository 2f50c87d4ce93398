#include "flow/flow_observer.h"

#include <xxhash.h>

namespace lugfork {

namespace {

std::size_t slotIndex(const FlowId& flow, std::size_t size) {
  const std::uint64_t content[] = {flow.high, flow.low};
  return XXH3_64bits(content, sizeof(content)) % size;
}

/** @return true if a byte number lies after another; numbers wrap around. */
bool isAfter(std::uint32_t number, std::uint32_t other) {
  return static_cast<std::int32_t>(number - other) > 0;
}

}  // namespace

FlowObserver::FlowObserver(std::size_t size, const TimeSource& time_source)
    : time_source_(time_source), flows_(size == 0 ? 1 : size) {}

const ObservedFlow* FlowObserver::find(const FlowId& flow) const {
  const ObservedFlow& slot = slotOf(flow);
  return slot.flow == flow ? &slot : nullptr;
}

void FlowObserver::onPlaced(const FlowPacket& packet, BackendId backend) {
  ObservedFlow& slot = slotOf(packet.flow());
  slot = ObservedFlow();
  slot.flow = packet.flow();
  slot.backend = backend;
  slot.next_sequence = packet.sequence;
  slot.progress_at = time_source_.monotonicTime();
}

FlowObservation FlowObserver::onContinuation(const FlowPacket& packet, BackendId backend) {
  const FlowId flow = packet.flow();
  ObservedFlow& slot = slotOf(flow);
  const std::uint32_t end = packet.sequence + packet.payload_bytes;
  const bool is_new = slot.flow != flow || slot.backend != backend;
  const bool has_progress = is_new || !slot.open || isAfter(packet.acknowledged, slot.acknowledged);
  if (is_new) {
    slot = ObservedFlow();
    slot.flow = flow;
    slot.backend = backend;
    slot.next_sequence = packet.sequence;
  }
  const bool repeats = packet.payload_bytes > 0 && !isAfter(end, slot.next_sequence);
  if (isAfter(end, slot.next_sequence)) {
    slot.next_sequence = end;
  }
  if (has_progress) {
    const MonotonicTime now = time_source_.monotonicTime();
    const bool ends_handshake = !is_new && !slot.open;
    const Duration handshake = ends_handshake ? now - slot.progress_at : Duration::zero();
    slot.open = true;
    slot.acknowledged = packet.acknowledged;
    slot.repetitions = 0;
    slot.progress_at = now;
    return {is_new ? FlowEvidence::None : FlowEvidence::Progress, handshake};
  }
  if (!repeats) {
    return {};
  }
  ++slot.repetitions;
  return {FlowEvidence::Silence, Duration::zero()};
}

void FlowObserver::forget(const FlowId& flow) {
  ObservedFlow& slot = slotOf(flow);
  if (slot.flow == flow) {
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
