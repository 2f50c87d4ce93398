#pragma once

#include "config/configuration.h"
#include "flow/backend_report.h"

namespace lugfork {

/** Path of a backend's health and load endpoint. */
inline constexpr const char* kLoadPath = "/load";

/**
 * Reads a backend's health and load over HTTP and waits for the response.
 * @return the report; `reachable` is false if the backend gave no valid response.
 */
BackendReport probeBackendOverHttp(const Backend& backend, Duration timeout);

/** @return the report as the JSON document that a backend serves. */
std::string writeBackendReport(const BackendReport& report);

}  // namespace lugfork
