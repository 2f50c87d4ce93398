#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace lugfork {

/** Adds a counter with its current value to a registry that is built for one response. */
inline void addCounter(prometheus::Registry& registry, const std::string& name,
                       const std::string& help, std::uint64_t value,
                       const prometheus::Labels& labels = {}) {
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  family.Add(labels).Increment(static_cast<double>(value));
}

/** Adds a gauge with its current value. */
inline void addGauge(prometheus::Registry& registry, const std::string& name,
                     const std::string& help, double value, const prometheus::Labels& labels = {}) {
  prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(labels).Set(value);
}

}  // namespace lugfork
