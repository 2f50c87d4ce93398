#pragma once

#include <vector>

#include "common/ids.h"
#include "common/time_source.h"
#include "flow/flow_packet.h"
#include "flow/requests_in_flight.h"

namespace lugfork {

/** What a packet indicates about the backend of its flow. */
enum class FlowEvidence {
  None,
  /** The client has received new data from the backend. */
  Progress,
  /** The client retransmits: the backend has not answered. */
  Silence,
};

/** Quality of a response time that is derived from a client's acknowledgement. */
enum class ResponseTiming {
  /** The client closes the flow, which clients do as soon as they have the whole answer. */
  Prompt,
  /**
   * Other acknowledgements are delayed until a second packet of the answer arrives, or a timer
   * ends.
   */
  Delayed,
  /** The request was retransmitted: the time reflects packet loss rather than queueing. */
  Retransmitted,
};

/** What a packet after the first indicates. */
struct FlowObservation {
  FlowEvidence evidence = FlowEvidence::None;
  /** Time since the opening if this packet completes the handshake; else zero. */
  Duration handshake{};
  /** Retransmissions of the flow since its last progress, including this one. */
  std::uint16_t retransmissions = 0;
  /** Time since the first data of a request if this packet acknowledges its answer; else zero. */
  Duration response{};
  ResponseTiming timing = ResponseTiming::Delayed;
  /** The packet is the first of a request seen by this balancer. */
  bool begins_request = false;
};

/** Settings of a FlowObserver. */
struct FlowObserverSettings {
  /** Capacity of the table of flows. */
  std::size_t max_flows = 4096;
  /**
   * Maximum number of bytes that a client sends without an acknowledgement; a byte beyond it
   * implies that one was received.
   */
  std::uint32_t window_bytes = 16 * 1200;
  /** Packets retransmitted within this interval count as one retransmission. */
  Duration min_retransmission_interval = milliseconds(150);
  /**
   * Maximum time for which an opening counts as a request in flight before its handshake completes.
   */
  Duration opening_ttl = milliseconds(200);
  /** Maximum time for which a request without an answer counts as in flight. */
  Duration request_ttl = seconds(1);
};

/** State of a recently observed flow. */
struct ObservedFlow {
  FlowId flow;
  BackendId backend;
  /** Sequence number after the last byte that the client sent. */
  std::uint32_t next_sequence = 0;
  std::uint32_t acknowledged = 0;
  /** Value of next_sequence at the last progress. */
  std::uint32_t sequence_at_progress = 0;
  /** Retransmissions since the last progress. */
  std::uint16_t retransmissions = 0;
  bool open = false;
  MonotonicTime progress_at;
  MonotonicTime retransmitted_at;
  /** Time of the first data since the last part of an answer; unset for none. */
  MonotonicTime request_at;
};

/**
 * Tracks recently observed flows, to infer from the packets of clients whether backends answer. A
 * cache of fixed size: flows that are not in it are forwarded all the same.
 */
class FlowObserver {
 public:
  FlowObserver(FlowObserverSettings settings, const TimeSource& time_source);

  /** @return the flow, or nullptr if it is not in the table. */
  const ObservedFlow* find(const FlowId& flow) const;

  /** Records that a flow's first packet is forwarded to the backend. */
  void onPlaced(const FlowPacket& packet, BackendId backend);

  /**
   * Records a later packet.
   * @return what it indicates about the backend.
   */
  FlowObservation onContinuation(const FlowPacket& packet, BackendId backend);

  /** @return the requests that were forwarded by this balancer and are not answered yet. */
  const RequestsInFlight& requestsInFlight() const { return in_flight_; }

  /** Removes requests in flight at backends that are not in the configuration. */
  void retain(const ConfigurationView& configuration) { in_flight_.retain(configuration); }

  /** Removes the flows and the requests in flight of a backend that has restarted. */
  void onRestart(BackendId backend);

  /**
   * Records that packets had waited at this balancer: retransmissions up to now no longer count,
   * and the next one counts only after the minimum interval.
   */
  void onBehind() { behind_at_ = time_source_.monotonicTime(); }

  /** Removes a flow. */
  void remove(const FlowId& flow);

 private:
  ObservedFlow& slotOf(const FlowId& flow);
  const ObservedFlow& slotOf(const FlowId& flow) const;

  /** What a packet indicates about the pending request of its flow. */
  struct RequestObservation {
    /** Response time if the packet acknowledges an answer, or zero. */
    Duration response{};
    bool begins = false;
  };

  /** Records request data and answers. */
  RequestObservation recordRequest(ObservedFlow& flow, const FlowPacket& packet);

  FlowObservation recordProgress(ObservedFlow& flow, const FlowPacket& packet);

  /**
   * Records retransmitted data.
   * @return true if it counts as a new retransmission.
   */
  bool recordRetransmission(ObservedFlow& flow) const;

  const FlowObserverSettings settings_;
  const TimeSource& time_source_;
  std::vector<ObservedFlow> flows_;
  MonotonicTime behind_at_;
  RequestsInFlight in_flight_;
};

}  // namespace lugfork
