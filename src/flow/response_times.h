#pragma once

#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Settings of ResponseTimes. */
struct ResponseTimeSettings {
  /** Weight of a new sample in a backend's smoothed response time. */
  double smoothing_factor = 0.3;
  /** Minimum number of samples before a backend's response time is used. */
  std::uint32_t min_samples = 3;
  /** Time without a sample after which a backend's response time is no longer used. */
  Duration sample_ttl = seconds(3);
  /** Minimum number of backends with an estimate that a service needs for a comparison. */
  std::size_t min_backends = 3;
  /** Ratio to the service's median above which a backend counts as slow. */
  double slow_ratio = 1.5;
  /**
   * Minimum fraction of its usual flows that a slow backend gets, so that its recovery is detected.
   */
  double min_flow_fraction = 0.1;
};

/** Response speed of backends, relative to others of their service. */
class BackendSpeed {
 public:
  virtual ~BackendSpeed() = default;

  /** @return the fraction of its usual new flows that the backend should get, in (0, 1]. */
  virtual double flowFractionOf(BackendId backend) const = 0;
};

/**
 * Measures the response times of backends from the packets of clients: from the first packet of a
 * request to the first acknowledgement of a part of the answer. A backend that is much slower than
 * the median of its service gets proportionally fewer new flows.
 */
class ResponseTimes : public BackendSpeed {
 public:
  ResponseTimes(ResponseTimeSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /**
   * Adds a sample: a client received the beginning of an answer this long after it sent the
   * request.
   */
  void onResponse(BackendId backend, Duration duration);

  /** Compares the backends of each service. To be called a few times a second. */
  void compare(const ConfigurationView& configuration);

  /** @return the fraction as of the last comparison. */
  double flowFractionOf(BackendId backend) const override;

  /** Removes the samples of one backend. */
  void remove(BackendId backend);

  /** Removes backends that are not in the configuration. */
  void retain(const ConfigurationView& configuration);

 private:
  struct Record {
    double smoothed_ms = 0;
    std::uint32_t samples = 0;
    MonotonicTime sampled_at;
  };
  /** Smoothed response time of a backend. */
  struct TimeEstimate {
    BackendId backend;
    double smoothed_ms = 0;
  };

  bool hasEstimate(const Record& record) const;
  void compareService(std::vector<TimeEstimate>& times);

  const ResponseTimeSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<BackendId, Record> records_;
  /** Fractions of the backends found slow by the last comparison; all others have 1. */
  std::unordered_map<BackendId, double> slow_fractions_;
};

}  // namespace lugfork
