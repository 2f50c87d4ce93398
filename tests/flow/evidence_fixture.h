#pragma once

#include "flow/evidence_reporter.h"
#include "flow/router_harness.h"

namespace lugfork {

inline const ZoneId kMegrine{3};
inline constexpr std::uint32_t kBackendsPerZone = 10;

/** Thirty backends of one service in three zones: 1 to 10, 11 to 20 and 21 to 30. */
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

/** The evidence of a balancer in zone lac: its own observations and the reports of its peers. */
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

  /** Delivers a digest of the local zone that reports the backends as silent. */
  void reportSilent(const std::vector<std::uint32_t>& backends, std::uint8_t reporters,
                    std::uint8_t flows = 1, std::uint8_t retransmissions = 0,
                    std::uint16_t attempt_age_ms = 100) {
    EvidenceDigest digest;
    for (const std::uint32_t backend : backends) {
      digest.silent.push_back(
          {reporters, {BackendId(backend), flows, retransmissions, attempt_age_ms, kNeverMs}});
    }
    shared.onDigest(digest);
  }

  /** Delivers a digest that reports an answer of the backend. */
  void reportProgress(std::uint32_t backend, std::uint16_t age_ms) {
    shared.onDigest({"lac", 0, {}, {{BackendId(backend), age_ms}}});
  }

  /** Records a retransmission, on a flow of this balancer, that the backend does not answer. */
  void recordUnanswered(std::uint32_t backend, std::uint16_t port = 1,
                        std::uint16_t retransmissions = 0) {
    local.onRetransmission(BackendId(backend), flowIdOf({kClient.address, port}, kListen),
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
