#pragma once

#include <vector>

#include "common/ids.h"
#include "common/time_source.h"
#include "flow/flow_packet.h"
#include "flow/requests_in_flight.h"

namespace lugfork {

/** What one packet shows about the back end of its flow. */
enum class FlowEvidence {
  None,
  /** The caller has received something new from the back end. */
  Progress,
  /** The caller repeats itself: the back end has not answered. */
  Silence,
};

/** What the time of an answer, as a caller's acknowledgement shows it, is good for. */
enum class ResponseTiming {
  /** The caller closes the flow, as callers do as soon as they have the answer. */
  Prompt,
  /** Other acknowledgements wait for a second packet of the answer, or for some time. */
  Delayed,
  /** The request was sent again: the time shows what was lost, and no queue. */
  Retransmitted,
};

/** What a later packet shows. */
struct FlowObservation {
  FlowEvidence evidence = FlowEvidence::None;
  /** Time since the opening, where this packet ends the handshake; else zero. */
  Duration handshake{};
  /** Repetitions of the flow since its last progress, this one included. */
  std::uint16_t retransmissions = 0;
  /** Time from the first data of a request, where this packet shows its answer; else zero. */
  Duration response{};
  ResponseTiming timing = ResponseTiming::Delayed;
  /** The packet is the first of a request that passes here. */
  bool begins_request = false;
};

/** What is known of how callers send. */
struct FlowObserverSettings {
  /** Flows remembered at most. */
  std::size_t max_flows = 4096;
  /** Most bytes that a caller sends without an acknowledgement: a later byte shows that one came.
   */
  std::uint32_t window_bytes = 16 * 1200;
  /** Repeated packets closer together than this belong to one repetition. */
  Duration min_retransmission_interval = milliseconds(150);
  /** Longest time for which an opening counts as a request in flight without its handshake's end.
   */
  Duration opening_ttl = milliseconds(200);
  /** Longest time for which a request counts as in flight without an answer. */
  Duration request_ttl = seconds(1);
};

/** What is remembered of a flow that passed here lately. */
struct ObservedFlow {
  FlowId flow;
  BackendId backend;
  /** Number after the last byte that the caller sent. */
  std::uint32_t next_sequence = 0;
  std::uint32_t acknowledged = 0;
  /** Number after the last byte sent when the last progress was seen. */
  std::uint32_t sequence_at_progress = 0;
  /** Repetitions since the last progress. */
  std::uint16_t retransmissions = 0;
  bool open = false;
  MonotonicTime progress_at;
  MonotonicTime retransmitted_at;
  /** First data since the last part of an answer; unset for none. */
  MonotonicTime request_at;
};

/**
 * Remembers the flows that passed here lately, to learn from what callers send whether back ends
 * answer. A cache of fixed size: a flow that is not in it is served all the same.
 */
class FlowObserver {
 public:
  FlowObserver(FlowObserverSettings settings, const TimeSource& time_source);

  /** @return the flow, or nullptr where it is not remembered. */
  const ObservedFlow* find(const FlowId& flow) const;

  /** Notes that a flow's opening goes to the back end. */
  void onPlaced(const FlowPacket& packet, BackendId backend);

  /** Notes a later packet. @return what it shows of the back end. */
  FlowObservation onContinuation(const FlowPacket& packet, BackendId backend);

  /** @return the requests that went through this node and wait for their answer. */
  const RequestsInFlight& requestsInFlight() const { return in_flight_; }

  /** Forgets requests in flight at back ends that are not known any more. */
  void retain(const ConfigurationView& configuration) { in_flight_.retain(configuration); }

  /** The back end has started again: forgets its flows and its requests in flight. */
  void onRestart(BackendId backend);

  /**
   * Packets waited at this node before they were seen: repetitions up to now count no more, and
   * the next one only after the gap.
   */
  void onBehind() { behind_at_ = time_source_.monotonicTime(); }

  /** Forgets a flow. */
  void remove(const FlowId& flow);

 private:
  ObservedFlow& slotOf(const FlowId& flow);
  const ObservedFlow& slotOf(const FlowId& flow) const;

  /** What a packet shows of the request that its flow waits for. */
  struct RequestObservation {
    /** Time of the answer that the packet shows, or zero. */
    Duration response{};
    bool begins = false;
  };

  /** Notes data and answers. */
  RequestObservation recordRequest(ObservedFlow& flow, const FlowPacket& packet);

  FlowObservation recordProgress(ObservedFlow& flow, const FlowPacket& packet);

  /** Notes data that was sent before. @return true if that is a repetition of its own. */
  bool recordRetransmission(ObservedFlow& flow) const;

  const FlowObserverSettings settings_;
  const TimeSource& time_source_;
  std::vector<ObservedFlow> flows_;
  MonotonicTime behind_at_;
  RequestsInFlight in_flight_;
};

}  // namespace lugfork
