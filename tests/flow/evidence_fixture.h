#pragma once

#include "flow/evidence_reporter.h"
#include "flow/router_harness.h"

namespace lugfork {

inline const ZoneId kMegrine{3};
inline constexpr std::uint32_t kServersInZone = 10;

/** Thirty servers of one service in three zones: 1 to 10, 11 to 20 and 21 to 30. */
inline Configuration threeZones() {
  Configuration configuration;
  configuration.zones = {{kLac, "lac", ""}, {kAriana, "ariana", ""}, {kMegrine, "megrine", ""}};
  configuration.services = {{ServiceId(1), "listen", kListen, {kLac, kAriana, kMegrine}}};
  const std::array<ZoneId, 3> zones = {kLac, kAriana, kMegrine};
  for (std::uint32_t id = 1; id <= 3 * kServersInZone; ++id) {
    const ZoneId zone = zones.at((id - 1) / kServersInZone);
    configuration.backends.push_back(makeBackend(id, ServiceId(1), zone));
  }
  return configuration;
}

/** What a node in zone lac has seen itself, and what it makes of others' word. */
struct EvidenceNode {
  explicit EvidenceNode(ManualTimeSource& clock, const std::string& zone = "lac")
      : time(clock), reporter(EvidenceReporterSettings(), zone, own, shared, clock) {
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
  void isTold(const std::vector<std::uint32_t>& servers, std::uint8_t reporters,
              std::uint8_t flows = 1, std::uint8_t repetitions = 0,
              std::uint16_t attempt_age_ms = 100) {
    EvidenceDigest digest;
    for (const std::uint32_t server : servers) {
      digest.silent.push_back(
          {reporters, {BackendId(server), flows, repetitions, attempt_age_ms, kNeverMs}});
    }
    shared.onDigest(digest);
  }

  void isToldLife(std::uint32_t server, std::uint16_t age_ms) {
    shared.onDigest({"lac", 0, {}, {{BackendId(server), age_ms}}});
  }

  /** A flow of this node's gets no answer from the server. */
  void loses(std::uint32_t server, std::uint16_t port = 1, std::uint16_t repetitions = 0) {
    own.onRepetition(BackendId(server), flowIdOf({kCaller.address, port}, kListen), repetitions);
  }

  void isAnswered(std::uint32_t server) { own.onLife(BackendId(server)); }

  bool suspects(std::uint32_t server) const { return shared.isSuspect(BackendId(server)); }

  ManualTimeSource& time;
  NullEventLog log;
  SilenceDetector own{SilenceSettings(), time, log};
  SharedEvidence shared{SharedEvidenceSettings(), own, time, log};
  EvidenceReporter reporter;
};

}  // namespace lugfork
