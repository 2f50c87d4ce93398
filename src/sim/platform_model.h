#pragma once

#include <deque>
#include <string>

#include "common/time_source.h"

namespace lugfork {

/** One text served by the platform, with its history, so that reads can return stale states. */
class LaggingText {
 public:
  explicit LaggingText(const TimeSource& time_source, std::string text)
      : time_source_(time_source) {
    set(std::move(text));
  }

  void set(std::string text);

  const std::string& latest() const { return states_.back().text; }

  /** @return the text as of lag ago, or the first one if there was none yet. */
  const std::string& asOf(Duration lag) const;

 private:
  struct State {
    MonotonicTime since;
    std::string text;
  };

  const TimeSource& time_source_;
  std::deque<State> states_;
};

/**
 * The platform's configuration service and machine list, without its transport. Used by
 * lugfork-standin and the simulator.
 */
class PlatformModel {
 public:
  PlatformModel(const TimeSource& time_source, std::string configuration, std::string machines);

  bool outage() const { return outage_; }
  void setOutage(bool outage) { outage_ = outage; }
  Duration lag() const { return lag_; }
  void setLag(Duration lag) { lag_ = lag; }

  /** @return the document as read now, that is, as of lag ago. */
  const std::string& configuration() const { return configuration_.asOf(lag_); }
  const std::string& latestConfiguration() const { return configuration_.latest(); }
  const std::string& machines() const { return machines_.asOf(lag_); }
  void setMachines(std::string machines) { machines_.set(std::move(machines)); }

  /** @return the version of the latest document. */
  std::uint64_t latestVersion() const;

  /** Result of a publication. */
  enum class PublishOutcome { Published, Conflict, Invalid };

  /**
   * Publishes a document if the expected version is still the latest.
   * @param problem receives a description of the problem for Conflict and Invalid.
   */
  PublishOutcome publish(std::uint64_t expected_version, const std::string& document,
                         std::string& problem);

 private:
  LaggingText configuration_;
  LaggingText machines_;
  bool outage_ = false;
  Duration lag_{};
};

}  // namespace lugfork
