#pragma once

#include "flow/evidence_reporter.h"
#include "flow/router_harness.h"

namespace lugfork {

inline const ZoneId kMegrine{3};
inline constexpr std::uint32_t kBackendsPerZone = 10;

/** Thirty servers of one service in three zones: 1 to 10, 11 to 20 and 21 to 30. */
inline Configuration threeZones() {
  Configuration configuration;
  configuration.zones = {{kLac, "lac", ""}, {kAriana, "ariana", ""}, {kMegrine, "megrine", ""}};
  configuration.services = {{ServiceId(1), "listen", kListen, {kLac, kAriana, kMegrine}}};
  const std::array<ZoneId, 3> zones = {kLac, kAriana, kMegrine};
  for (std::uint32_t id = 1; id <= 3 * kBackendsPerZone; ++id) {
    const ZoneId zone = zones.at((id - 1) / kBackendsPerZone);
    configuration.backends.push_back(makeBackend(id, ServiceId(1), zone));
  }
  return configuration;
}

/** What a node in zone lac has seen itself, and what it makes of others' word. */
struct EvidenceNode {
  explicit EvidenceNode(ManualTimeSource& clock, const std::string& zone = "lac")
      : time(clock), reporter(EvidenceReporterSettings(), zone, local, shared, clock) {
    const ConfigurationView view(threeZones());
    ConfigurationChanges all;
    all.services = true;
    for (const Backend& backend : view.document().backends) {
      all.backends.push_back(&backend);
    }
    shared.onConfigurationChanged(all, view);
    reporter.setConfiguration(view);
  }

  /** A digest of the node's zone names the servers. */
  void reportSilent(const std::vector<std::uint32_t>& backends, std::uint8_t reporters,
                    std::uint8_t flows = 1, std::uint8_t retransmissions = 0,
                    std::uint16_t attempt_age_ms = 100) {
    EvidenceDigest digest;
    for (const std::uint32_t backend : backends) {
      digest.silent.push_back(
          {reporters,
           {BackendId(backend), flows, retransmissions, attempt_age_ms, kNeverMilliseconds}});
    }
    shared.onDigest(digest);
  }

  void reportProgress(std::uint32_t backend, std::uint16_t age_ms) {
    shared.onDigest({"lac", 0, {}, {{BackendId(backend), age_ms}}});
  }

  /** A flow of this node's gets no answer from the server. */
  void recordUnanswered(std::uint32_t backend, std::uint16_t port = 1,
                        std::uint16_t retransmissions = 0) {
    local.onRetransmission(BackendId(backend), flowIdOf({kCaller.address, port}, kListen),
                           retransmissions);
  }

  void recordAnswer(std::uint32_t backend) { local.onProgress(BackendId(backend)); }

  bool isSuspect(std::uint32_t backend) const { return shared.isSuspect(BackendId(backend)); }

  ManualTimeSource& time;
  NullEventLog log;
  SilenceDetector local{SilenceDetectorSettings(), time, log};
  SharedEvidence shared{SharedEvidenceSettings(), local, time, log};
  EvidenceReporter reporter;
};

}  // namespace lugfork
