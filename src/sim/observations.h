#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "client/caller_flow.h"
#include "sim/backend_model.h"

/** What callers, back ends and nodes observed in one simulation; all that the checks look at. */
namespace lugfork {

/** A stretch of virtual time; until is MonotonicTime::max() where it did not end. */
struct Interval {
  MonotonicTime from;
  MonotonicTime until = MonotonicTime::max();

  bool overlaps(MonotonicTime begin, MonotonicTime end) const {
    return from <= end && until >= begin;
  }
};

/** One placement that a caller got. */
struct PlacementObservation {
  FlowKey key;
  BackendId backend;
  MonotonicTime at;
};

/** One refusal that a caller took as final word on an attempt. */
struct RefusalObservation {
  FlowKey key;
  Reason reason = Reason::None;
  bool has_replacement = false;
  std::uint32_t retry_after_ms = 0;
  MonotonicTime at;
};

/** An established attempt was lost (no reason) or reset. */
struct BreakObservation {
  FlowKey key;
  MonotonicTime at;
  Reason reason = Reason::None;
};

/** One call as its caller saw it. */
struct CallRecord {
  FlowId flow;
  ServiceId service;
  WorkKind kind = WorkKind::PreCheck;
  std::uint32_t expected_pieces = 0;
  std::uint32_t pieces = 0;
  std::uint32_t wrong_pieces = 0;
  MonotonicTime started_at;
  MonotonicTime ended_at;
  /** Nothing where the call had not ended when the simulation did. */
  std::optional<CallResult> result;
  Duration retry_after{};
  std::vector<BreakObservation> breaks;
};

/** One start of work at a back end. */
struct RunObservation {
  FlowKey key;
  WorkKind kind = WorkKind::PreCheck;
  BackendId backend;
  ServiceId service;
  ZoneId zone;
  MonotonicTime placed_at;
  MonotonicTime admitted_at;
};

/** A node took another version of the configuration into force. */
struct VersionObservation {
  std::string node;
  std::uint64_t version = 0;
  MonotonicTime at;
};

/** A version of the configuration that the platform accepted. */
struct PublicationObservation {
  std::uint64_t version = 0;
  MonotonicTime at;
};

/** Load of the back ends of one service that are up and take work, at one moment. */
struct LoadSample {
  ServiceId service;
  std::vector<double> loads;
};

/** A zone that a service must not be served from, from a moment on. */
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
  /** Times in which a back end was dead, or stood still for too long, without a plan. */
  std::multimap<BackendId, Interval> unplanned_outages;
  /** Times in which a back end was leaving and had been told or declared so. */
  std::multimap<BackendId, Interval> drains;
  /** Times in which some machine was being stopped in the way meant for it. */
  std::vector<Interval> planned_stops;
  /** Times in which news could not spread: cuts, outages and stale replicas of the platform. */
  std::vector<Interval> isolation;
  /** Times in which a node was running, by name. */
  std::multimap<std::string, Interval> node_uptimes;
  /** Times in which a node stood still. */
  std::multimap<std::string, Interval> node_pauses;
};

}  // namespace lugfork
