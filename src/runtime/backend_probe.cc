#include "runtime/backend_probe.h"

#include <nlohmann/json.hpp>

#include "runtime/http_client.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;

std::uint32_t numberField(const json& document, const char* name) {
  const auto found = document.find(name);
  return found != document.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
}

}  // namespace

BackendReport probeBackendOverHttp(const Backend& backend, Duration timeout) {
  BackendReport report;
  report.backend = backend.id;
  HttpCall call;
  call.server = backend.probe_address;
  call.target = kLoadPath;
  call.timeout = timeout;
  const auto reply = httpRequest(call);
  report.measured_at_ms = toUnixMilliseconds(RealTimeSource().systemTime());
  if (!reply || reply.value().status != kStatusOk) {
    return report;
  }
  const json document = json::parse(reply.value().body, nullptr, false);
  if (!document.is_object()) {
    return report;
  }
  report.reachable = true;
  report.draining = document.value("draining", false);
  report.open_connections = numberField(document, "open_connections");
  report.busy_slots = numberField(document, "busy_slots");
  report.queued_requests = numberField(document, "queued_requests");
  report.uptime_ms = numberField(document, "uptime_ms");
  return report;
}

std::string writeBackendReport(const BackendReport& report) {
  const json document = {{"draining", report.draining},
                         {"open_connections", report.open_connections},
                         {"busy_slots", report.busy_slots},
                         {"queued_requests", report.queued_requests},
                         {"uptime_ms", report.uptime_ms}};
  return document.dump();
}

}  // namespace lugfork
