#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lugfork {

/** Names and values of labels; the views need to stay valid only during the call. */
using MetricLabels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

/** Histogram of observed values. Not thread-safe. */
class MetricHistogram {
 public:
  /** @param bounds inclusive upper bounds of the buckets, in ascending order. */
  explicit MetricHistogram(std::vector<double> bounds);

  void observe(double value);

  const std::vector<double>& bounds() const { return bounds_; }
  /** One count per bound, and one for values above the last bound. */
  const std::vector<std::uint64_t>& counts() const { return counts_; }
  double sum() const { return sum_; }

 private:
  std::vector<double> bounds_;
  std::vector<std::uint64_t> counts_;
  double sum_ = 0;
};

/**
 * One page of metrics in Prometheus' text format, built for one response. Values of one name are
 * grouped, in the order of their addition. Replaces prometheus-cpp, which needs 0.18 ms of CPU time
 * for the same page and, together with the shared C++ library, 0.5 ms more at start.
 */
class MetricPage {
 public:
  void addCounter(std::string_view name, std::string_view help, std::uint64_t value,
                  MetricLabels labels = {});
  /** Adds a counter with a fractional value, such as seconds. */
  void addCounter(std::string_view name, std::string_view help, double value,
                  MetricLabels labels = {});
  void addGauge(std::string_view name, std::string_view help, double value,
                MetricLabels labels = {});
  void addHistogram(std::string_view name, std::string_view help, const MetricHistogram& histogram);

  /** @return the complete page. */
  std::string text() const;

 private:
  struct Family {
    std::string name;
    std::string text;
  };

  /** @return the text of the named family; creates the family if it is new. */
  std::string& familyText(std::string_view name, std::string_view help, std::string_view type);

  std::vector<Family> families_;
};

/** Adds a counter with its current value to a page. */
inline void addCounter(MetricPage& page, std::string_view name, std::string_view help,
                       std::uint64_t value, MetricLabels labels = {}) {
  page.addCounter(name, help, value, labels);
}

/** Adds a gauge with its current value to a page. */
inline void addGauge(MetricPage& page, std::string_view name, std::string_view help, double value,
                     MetricLabels labels = {}) {
  page.addGauge(name, help, value, labels);
}

}  // namespace lugfork
