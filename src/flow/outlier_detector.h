#pragma once

#include <unordered_map>
#include <vector>

#include "common/random_generator.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Settings of an OutlierDetector. */
struct OutlierDetectorSettings {
  /** Number of consecutive failed attempts that ejects a backend. */
  std::uint32_t failures_to_eject = 5;
  /** Failures further apart than this do not add up. */
  Duration failure_window = seconds(10);
  /** The n-th consecutive ejection lasts n times this, up to the maximum. */
  Duration base_ejection_duration = seconds(5);
  Duration max_ejection_duration = seconds(60);
  /** Maximum random extension of an ejection, as a fraction of its duration. */
  double max_jitter_fraction = 0.2;
  /** Maximum fraction of a service's backends that is ejected at a time, rounded down. */
  double max_ejected_fraction = 0.3;
};

/**
 * Ejects backends whose attempts keep failing, for increasing durations. The ejected fraction of a
 * service is bounded, so that misleading observations cannot remove most of it.
 */
class OutlierDetector {
 public:
  OutlierDetector(OutlierDetectorSettings settings, const TimeSource& time_source,
                  RandomGenerator& random)
      : settings_(settings), time_source_(time_source), random_(random) {}

  /**
   * Counts a failed attempt; retransmissions of the attempt counted last are ignored.
   * @param service_size number of the service's backends that are eligible for new flows.
   */
  void onFailure(const Backend& backend, const FlowKey& attempt, std::size_t service_size);

  /** Resets the failure count of a backend that is not ejected. */
  void onSuccess(BackendId backend);

  bool isEjected(BackendId backend) const;

 private:
  struct Record {
    FlowKey last_attempt;
    std::uint32_t failures = 0;
    MonotonicTime last_failure_at;
    std::uint32_t ejections = 0;
    MonotonicTime ejected_until;
  };

  void eject(const Backend& backend, Record& record, std::size_t service_size);

  /**
   * Removes ejections that have ended.
   * @return the service's ejected backends.
   */
  std::vector<BackendId>& ejectedOf(ServiceId service);

  const OutlierDetectorSettings settings_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  std::unordered_map<BackendId, Record> records_;
  std::unordered_map<ServiceId, std::vector<BackendId>> ejected_;
};

}  // namespace lugfork
