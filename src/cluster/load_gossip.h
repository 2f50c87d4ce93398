#pragma once

#include <unordered_map>
#include <vector>

#include "common/time_source.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Tunables of the spread of health and load. */
struct LoadGossipSettings {
  /** Change of open connections or requests that counts as significant. */
  double significant_change_fraction = 0.2;
  /** An unchanged report is sent on again after this time. */
  Duration refresh_interval = seconds(1);
  /** A report older than this is not sent any more. */
  Duration report_ttl = seconds(30);
  /** A report of state is sent this factor times log2(receivers) times, others once less often. */
  double retransmit_factor = 3;
};

/** Order in which observations compete for the bytes of a message. */
enum class ObservationPriority { StateChange, LoadChange, Refresh };

/** Which observations a message is for. */
enum class ObservationScope {
  StateChanges,
  /** Load only, for what a message has room for besides. */
  Load,
  All,
};

/** Nodes that observations are meant for; sets the number of transmissions. */
struct ReceiverCounts {
  /** Receivers of changes of state. */
  std::size_t fleet = 0;
  /** Receivers of load. */
  std::size_t zone = 0;
};

/**
 * Spreads reports about back ends by gossip: changes of state first and everywhere, changes of
 * load next, refreshes with what is left. Holds one observation for each back end it heard of.
 */
class LoadGossip {
 public:
  LoadGossip(LoadGossipSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /**
   * Takes an observation of this node or of a peer.
   * @return true if it is news; then the caller takes it into its own view as well.
   */
  bool onObservation(const BackendObservation& observation);

  /** Notes that the back end announced on the data path to drain. @return true if it is news. */
  bool onDrainAnnounced(BackendId backend);

  /**
   * Takes observations for one message, most important first.
   * @param bytes room in the message.
   */
  std::vector<BackendObservation> take(ObservationScope scope, std::size_t bytes,
                                       const ReceiverCounts& receivers);

  /** @return what is known of back ends that should get no new work, at most the given number. */
  std::vector<BackendObservation> unhealthy(std::size_t limit) const;

  /** @return true if a change of state waits to be sent for the first time. */
  bool hasUrgent() const { return urgent_; }
  void clearUrgent() { urgent_ = false; }

  /** @return the observation held for a back end, or nullptr. */
  const BackendObservation* find(BackendId backend) const;
  std::size_t size() const { return entries_.size(); }

  /** Encoded size of one observation, rounded up. */
  static constexpr std::size_t kObservationBytes = 36;

 private:
  struct Entry {
    BackendObservation observation;
    /** Report whose load was last sent as news. */
    BackendReport baseline;
    ObservationPriority priority = ObservationPriority::StateChange;
    std::uint32_t transmissions = 0;
    /** A change of state has not been sent often enough yet. */
    bool state_pending = false;
    MonotonicTime queued_at;
  };

  /** @return true if the report shows another process of the back end than the one known. */
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
