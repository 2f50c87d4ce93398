#include "sim/platform_model.h"

#include "config/configuration_document.h"

namespace lugfork {

void LaggingText::set(std::string text) {
  states_.push_back({time_source_.monotonicTime(), std::move(text)});
}

const std::string& LaggingText::asOf(Duration lag) const {
  const MonotonicTime wanted = time_source_.monotonicTime() - lag;
  const State* shown = &states_.front();
  for (const State& state : states_) {
    if (state.since <= wanted) {
      shown = &state;
    }
  }
  return shown->text;
}

PlatformModel::PlatformModel(const TimeSource& time_source, std::string configuration,
                             std::string machines)
    : configuration_(time_source, std::move(configuration)),
      machines_(time_source, std::move(machines)) {}

std::uint64_t PlatformModel::latestVersion() const {
  const auto parsed = parseConfigurationDocument(configuration_.latest());
  return parsed ? parsed.value().version.value() : 0;
}

PlatformModel::PublishOutcome PlatformModel::publish(std::uint64_t expected_version,
                                                     const std::string& document,
                                                     std::string& problem) {
  const std::uint64_t latest = latestVersion();
  if (expected_version != latest) {
    problem = "the latest version is " + std::to_string(latest);
    return PublishOutcome::Conflict;
  }
  const auto parsed = parseConfigurationDocument(document);
  if (!parsed) {
    problem = describeProblems(parsed.error());
    return PublishOutcome::Invalid;
  }
  if (parsed.value().version.value() <= latest) {
    problem = "the version must rise above " + std::to_string(latest);
    return PublishOutcome::Invalid;
  }
  configuration_.set(document);
  return PublishOutcome::Published;
}

}  // namespace lugfork
