#pragma once

#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/time_source.h"
#include "config/configuration.h"

namespace lugfork {

/** Tunables of ResponseTimes. */
struct ResponseTimeSettings {
  /** Part of a new sample in a back end's smoothed time. */
  double smoothing_factor = 0.3;
  /** Samples before a back end's time is believed. */
  std::uint32_t min_samples = 3;
  /** Time without a sample after which nothing is known any more. */
  Duration sample_ttl = seconds(3);
  /** Back ends with known times that a service needs for a comparison. */
  std::size_t min_backends = 3;
  /** Multiple of the service's median from which a back end counts as slow. */
  double slow_ratio = 1.5;
  /** Smallest share of its usual flows that a slow back end gets, so that it is seen to recover. */
  double min_flow_fraction = 0.1;
};

/** How fast back ends answer, compared with others of their service. */
class BackendSpeed {
 public:
  virtual ~BackendSpeed() = default;

  /** @return the share of its usual new flows that suits the back end, from above 0 to 1. */
  virtual double flowFractionOf(BackendId backend) const = 0;
};

/**
 * Learns from the packets of callers how long back ends take to answer: from the first packet of a
 * request to the first that acknowledges a part of the answer. A back end that is much slower than
 * the median of its service gets fewer new flows, in proportion.
 */
class ResponseTimes : public BackendSpeed {
 public:
  ResponseTimes(ResponseTimeSettings settings, const TimeSource& time_source)
      : settings_(settings), time_source_(time_source) {}

  /** A caller has received the beginning of an answer, that long after it began to ask. */
  void onResponse(BackendId backend, Duration duration);

  /** Compares the back ends of each service anew; to be called a few times a second. */
  void compare(const ConfigurationView& configuration);

  /** As of the last comparison. */
  double flowFractionOf(BackendId backend) const override;

  /** Forgets the times of one back end. */
  void remove(BackendId backend);

  /** Forgets back ends that are not known any more. */
  void retain(const ConfigurationView& configuration);

 private:
  struct Record {
    double smoothed_ms = 0;
    std::uint32_t samples = 0;
    MonotonicTime sampled_at;
  };
  /** A back end whose time is known. */
  struct TimeEstimate {
    BackendId backend;
    double smoothed_ms = 0;
  };

  bool hasEstimate(const Record& record) const;
  void compareService(std::vector<TimeEstimate>& times);

  const ResponseTimeSettings settings_;
  const TimeSource& time_source_;
  std::unordered_map<BackendId, Record> records_;
  /** Shares of the back ends that are slow as of the last comparison; all others have 1. */
  std::unordered_map<BackendId, double> slow_fractions_;
};

}  // namespace lugfork
