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
      estimator_(settings.estimates, time_source),
      controller_(settings.admission, estimator_,
                  makePressurePolicy(settings.mode, settings.pressure), time_source) {}

bool LoadControl::isMode(std::string_view mode) {
  return mode == "off" || makePressurePolicy(mode, PressureSettings()) != nullptr;
}

bool LoadControl::admits(const Service& service, const RequestClass& request_class,
                         const FlowId& flow) {
  const bool is_admitted = controller_.admits(service, request_class, flow);
  const std::size_t priority = std::min<std::size_t>(request_class.priority, kPriorities - 1);
  AdmissionCounters& counters = records_[service.id].counters[priority];
  ++counters.offered;
  ++(is_admitted ? counters.admitted : counters.rejected);
  return is_admitted;
}

void LoadControl::onResponse(ServiceId service, Duration duration, bool is_prompt,
                             bool is_elsewhere) {
  const MonotonicTime now = time_source_.monotonicTime();
  Record& record = records_[service];
  if (is_prompt) {
    record.prompt_at = now;
  }
  const bool knows_prompt =
      record.prompt_at != MonotonicTime() && now - record.prompt_at <= settings_.prompt_memory;
  if (is_prompt || !knows_prompt) {
    estimator_.onResponse(service, duration);
    if (is_elsewhere) {
      controller_.onResponseElsewhere(service, duration);
    }
  }
}

void LoadControl::tick(const ConfigurationView& configuration, std::size_t balancers) {
  estimator_.retain(configuration);
  std::erase_if(records_,
                [&](const auto& entry) { return configuration.service(entry.first) == nullptr; });
  controller_.tick(configuration, balancers);
  for (auto& [id, record] : records_) {
    logChange(*configuration.service(id), record);
  }
}

void LoadControl::logChange(const Service& service, Record& record) {
  const MonotonicTime now = time_source_.monotonicTime();
  const double level = controller_.level(service.id);
  const bool starts_or_ends = (level > 0) != (record.logged_level > 0);
  const bool changed =
      starts_or_ends || std::abs(level - record.logged_level) >= settings_.logged_change;
  if (!changed || now - record.logged_at < settings_.log_interval) {
    return;
  }
  AdmissionCounters sum;
  for (const AdmissionCounters& part : record.counters) {
    sum.offered += part.offered;
    sum.rejected += part.rejected;
  }
  const ServiceLoad load = estimator_.load(service.id);
  log_.write(LogLevel::Info, "load", "admission_changed",
             {{"service", service.name},
              {"level", level},
              {"cause", level > 0 ? settings_.mode : std::string("none")},
              {"requests_per_slot", load.requestsPerBusySlot()},
              {"service_time_ms", inMilliseconds(load.service_time)},
              {"response_time_ms", inMilliseconds(load.response_time)},
              {"offered", sum.offered - record.logged.offered},
              {"rejected", sum.rejected - record.logged.rejected}});
  record.logged = sum;
  record.logged_level = level;
  record.logged_at = now;
}

LoadControl::CountersByPriority LoadControl::counters(ServiceId service) const {
  const auto found = records_.find(service);
  return found == records_.end() ? CountersByPriority() : found->second.counters;
}

}  // namespace lugfork
