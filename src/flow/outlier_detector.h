#pragma once

#include <unordered_map>
#include <vector>

#include "common/random_generator.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Tunables of the ejection of back ends by data-path evidence. */
struct OutlierDetectorSettings {
  /** Failed attempts without any success between them that eject a back end. */
  std::uint32_t failures_to_eject = 5;
  /** Failures further apart than this do not add up. */
  Duration failure_window = seconds(10);
  /** The n-th ejection in a row lasts n times this, up to the maximum. */
  Duration base_ejection_duration = seconds(5);
  Duration max_ejection_duration = seconds(60);
  /** Largest random part that is added to an ejection's time. */
  double max_jitter_fraction = 0.2;
  /** Largest share of a service's back ends that is ejected at a time, rounded down. */
  double max_ejected_fraction = 0.3;
};

/**
 * Ejects back ends whose attempts keep failing, for a time that grows. Never more than a set share
 * of a service, so that a misled view does not take most of it away.
 */
class OutlierDetector {
 public:
  OutlierDetector(OutlierDetectorSettings settings, const TimeSource& time_source,
                  RandomGenerator& random)
      : settings_(settings), time_source_(time_source), random_(random) {}

  /**
   * Counts a failed attempt; copies of the attempt that was counted last are ignored.
   * @param service_size back ends of the service that could get new flows.
   */
  void onFailure(const Backend& backend, const FlowKey& attempt, std::size_t service_size);

  /** Notes that the back end works. */
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

  /** Forgets ejections that are over. @return those of the service that are not. */
  std::vector<BackendId>& ejectedOf(ServiceId service);

  const OutlierDetectorSettings settings_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  std::unordered_map<BackendId, Record> records_;
  std::unordered_map<ServiceId, std::vector<BackendId>> ejected_;
};

}  // namespace lugfork
