#pragma once

#include "config/configuration.h"
#include "flow/backend_report.h"

namespace lugfork {

/** Path of a back end's health and load endpoint. */
inline constexpr const char* kLoadPath = "/load";

/** Reads a back end's health and load over HTTP; an unreachable one gives such a report. */
BackendReport probeBackendOverHttp(const Backend& backend, Duration timeout);

/** @return the report as the JSON document that a back end serves. */
std::string writeBackendReport(const BackendReport& report);

}  // namespace lugfork
