#pragma once

#include <unordered_map>
#include <vector>

#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Settings of the gossip about health and load. */
struct LoadGossipSettings {
  /** Relative change of open connections or requests that counts as significant. */
  double significant_change_fraction = 0.2;
  /** An unchanged report is sent again after this time. */
  Duration refresh_interval = seconds(1);
  /** A report older than this is no longer sent. */
  Duration report_ttl = seconds(30);
  /** State changes are sent this factor times log2(receivers) times, others log2(receivers). */
  double retransmit_factor = 3;
};

/** Priority of observations for the space in a message, highest first. */
enum class ObservationPriority { StateChange, LoadChange, Refresh };

/** Kinds of observations that a message carries. */
enum class ObservationScope {
  StateChanges,
  /** Load only, to fill the remaining space of a message. */
  Load,
  All,
};

/** Number of nodes that observations are sent to; determines the number of transmissions. */
struct ReceiverCounts {
  /** Receivers of state changes. */
  std::size_t fleet = 0;
  /** Receivers of load reports. */
  std::size_t zone = 0;
};

/**
 * Disseminates reports about backends by gossip. State changes go first and to the whole fleet,
 * then load changes, then refreshes as space permits. Holds one observation per known backend.
 */
class LoadGossip {
 public:
  LoadGossip(LoadGossipSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /**
   * Handles an observation made by this node or received from a peer.
   * @return true if it is newer than the one held; then the calling code applies it as well.
   */
  bool onObservation(const BackendObservation& observation);

  /**
   * Records that a backend announced on the data path that it drains.
   * @return true if this was not known yet.
   */
  bool onDrainAnnounced(BackendId backend);

  /**
   * Selects observations for one message, highest priority first.
   * @param bytes space for observations in the message [bytes].
   */
  std::vector<BackendObservation> take(ObservationScope scope, std::size_t bytes,
                                       const ReceiverCounts& receivers);

  /** @return observations of backends that should get no new flows, at most the given number. */
  std::vector<BackendObservation> unhealthy(std::size_t limit) const;

  /** @return true if a state change is pending and has not been sent yet. */
  bool hasUrgent() const { return urgent_; }
  void clearUrgent() { urgent_ = false; }

  /** @return the observation held for a backend, or nullptr. */
  const BackendObservation* find(BackendId backend) const;
  std::size_t size() const { return entries_.size(); }

  /** Encoded size of one observation, rounded up. */
  static constexpr std::size_t kObservationBytes = 36;

 private:
  struct Entry {
    BackendObservation observation;
    /** Report when last queued; reference for detecting significant load changes. */
    BackendReport baseline;
    ObservationPriority priority = ObservationPriority::StateChange;
    std::uint32_t transmissions = 0;
    /** A state change has not reached its transmission limit yet. */
    bool state_pending = false;
    MonotonicTime queued_at;
  };

  /** @return true if the report comes from a later run of the backend than the known report. */
  static bool indicatesRestart(const BackendReport& report, const BackendReport& known);
  ObservationPriority classify(const Entry& entry, const BackendObservation& observation) const;
  bool isSignificant(std::uint32_t before, std::uint32_t after) const;
  std::uint32_t transmissionLimit(ObservationPriority priority,
                                  const ReceiverCounts& receivers) const;
  std::uint64_t nowMilliseconds() const;
  void queue(Entry& entry, ObservationPriority priority);

  const LoadGossipSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<BackendId, Entry> entries_;
  bool urgent_ = false;
};

}  // namespace lugfork
