#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "client/caller_flow.h"
#include "sim/backend_model.h"

/** What clients, backends and nodes observed in one simulation; the input of all checks. */
namespace lugfork {

/** An interval of virtual time; until is MonotonicTime::max() if it hasn't ended. */
struct Interval {
  MonotonicTime from;
  MonotonicTime until = MonotonicTime::max();

  bool overlaps(MonotonicTime begin, MonotonicTime end) const {
    return from <= end && until >= begin;
  }
};

/** One placement received by a client. */
struct PlacementObservation {
  FlowKey key;
  BackendId backend;
  MonotonicTime at;
};

/** One refusal that ended an attempt at the client. */
struct RefusalObservation {
  FlowKey key;
  Reason reason = Reason::None;
  bool has_replacement = false;
  std::uint32_t retry_after_ms = 0;
  MonotonicTime at;
};

/** Loss (without a reason) or reset of an established attempt. */
struct BreakObservation {
  FlowKey key;
  MonotonicTime at;
  Reason reason = Reason::None;
};

/** One call as observed by its client. */
struct CallRecord {
  FlowId flow;
  ServiceId service;
  WorkKind kind = WorkKind::PreCheck;
  std::uint32_t expected_pieces = 0;
  std::uint32_t pieces = 0;
  std::uint32_t wrong_pieces = 0;
  MonotonicTime started_at;
  MonotonicTime ended_at;
  /** Empty if the call had not ended by the end of the simulation. */
  std::optional<CallResult> result;
  Duration retry_after{};
  std::vector<BreakObservation> breaks;
};

/** One start of work at a backend. */
struct RunObservation {
  FlowKey key;
  WorkKind kind = WorkKind::PreCheck;
  BackendId backend;
  ServiceId service;
  ZoneId zone;
  MonotonicTime placed_at;
  MonotonicTime admitted_at;
};

/** A node applied another version of the configuration. */
struct VersionObservation {
  std::string node;
  std::uint64_t version = 0;
  MonotonicTime at;
};

/** A configuration version accepted by the platform. */
struct PublicationObservation {
  std::uint64_t version = 0;
  MonotonicTime at;
};

/** Loads of the backends of one service that accept work, at one point in time. */
struct LoadSample {
  ServiceId service;
  std::vector<double> loads;
};

/** Removal of a zone from the allowed zones of a service. */
struct ZoneWithdrawal {
  ServiceId service;
  ZoneId zone;
  MonotonicTime at;
};

/** Everything observed in one simulation. */
struct Observations {
  std::vector<CallRecord> calls;
  std::vector<PlacementObservation> placements;
  std::vector<RefusalObservation> refusals;
  std::vector<RunObservation> runs;
  std::vector<VersionObservation> versions;
  std::vector<PublicationObservation> publications;
  std::vector<LoadSample> loads;
  std::vector<ZoneWithdrawal> withdrawals;
  /** Unplanned outages of backends: times in which one was dead or paused for too long. */
  std::multimap<BackendId, Interval> unplanned_outages;
  /** Times in which a backend was draining, by itself or in the configuration. */
  std::multimap<BackendId, Interval> drains;
  /** Times in which a machine was being stopped gracefully. */
  std::vector<Interval> planned_stops;
  /** Times in which updates couldn't propagate: cuts, platform outages, stale replicas. */
  std::vector<Interval> isolation;
  /** Times in which a node was running, by node name. */
  std::multimap<std::string, Interval> node_uptimes;
  /** Times in which a node was paused, by node name. */
  std::multimap<std::string, Interval> node_pauses;
};

}  // namespace lugfork
