#include "load/load_control.h"

#include <cmath>

namespace lugfork {

namespace {

double inMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

LoadControl::LoadControl(const LoadControlSettings& settings, const TimeSource& time_source,
                         EventLog& log)
    : settings_(settings),
      time_source_(time_source),
      log_(log),
      estimator_(settings.estimator, time_source),
      controller_(settings.admission, estimator_,
                  makePressurePolicy(settings.mode, settings.pressure), time_source) {}

bool LoadControl::isMode(std::string_view mode) {
  return mode == "off" || makePressurePolicy(mode, PressureSettings()) != nullptr;
}

bool LoadControl::admits(const Service& service, const RequestClass& request_class,
                         const FlowId& flow) {
  const bool is_admitted = controller_.admits(service, request_class, flow);
  const std::size_t priority = std::min<std::size_t>(request_class.priority, kPriorityCount - 1);
  AdmissionCounters& counters = entries_[service.id].counters[priority];
  ++counters.offered;
  ++(is_admitted ? counters.admitted : counters.rejected);
  return is_admitted;
}

void LoadControl::onResponse(ServiceId service, Duration duration, bool is_prompt, bool is_remote) {
  const MonotonicTime now = time_source_.monotonicTime();
  ServiceEntry& entry = entries_[service];
  if (is_prompt) {
    entry.last_prompt_at = now;
  }
  const bool has_recent_prompt = entry.last_prompt_at != MonotonicTime() &&
                                 now - entry.last_prompt_at <= settings_.prompt_response_ttl;
  if (is_prompt || !has_recent_prompt) {
    estimator_.onResponse(service, duration);
    if (is_remote) {
      controller_.onRemoteResponse(service, duration);
    }
  }
}

void LoadControl::tick(const ConfigurationView& configuration, std::size_t balancers) {
  estimator_.retain(configuration);
  std::erase_if(entries_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
  controller_.tick(configuration, balancers);
  for (auto& [id, entry] : entries_) {
    logChange(*configuration.service(id), entry);
  }
}

void LoadControl::logChange(const Service& service, ServiceEntry& entry) {
  const MonotonicTime now = time_source_.monotonicTime();
  const double level = controller_.level(service.id);
  const bool starts_or_ends = (level > 0) != (entry.logged_level > 0);
  const bool changed =
      starts_or_ends || std::abs(level - entry.logged_level) >= settings_.min_logged_change;
  if (!changed || now - entry.logged_at < settings_.min_log_interval) {
    return;
  }
  AdmissionCounters sum;
  for (const AdmissionCounters& priority_counters : entry.counters) {
    sum.offered += priority_counters.offered;
    sum.rejected += priority_counters.rejected;
  }
  const ServiceLoad load = estimator_.load(service.id);
  log_.write(LogLevel::Info, "load", "admission_changed",
             {{"service", service.name},
              {"level", level},
              {"cause", level > 0 ? settings_.mode : std::string("none")},
              {"requests_per_slot", load.requestsPerBusySlot()},
              {"service_time_ms", inMilliseconds(load.service_time)},
              {"response_time_ms", inMilliseconds(load.response_time)},
              {"offered", sum.offered - entry.logged_counters.offered},
              {"rejected", sum.rejected - entry.logged_counters.rejected}});
  entry.logged_counters = sum;
  entry.logged_level = level;
  entry.logged_at = now;
}

LoadControl::CountersByPriority LoadControl::counters(ServiceId service) const {
  const auto found = entries_.find(service);
  return found == entries_.end() ? CountersByPriority() : found->second.counters;
}

}  // namespace lugfork
