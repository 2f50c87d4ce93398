#include "discovery/evidence_collector.h"

#include <catch2/catch.hpp>
#include <set>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Endpoint kFirst{1, 1};
const Endpoint kSecond{2, 1};
const Endpoint kThird{3, 1};

/** A report of a node that uses ten servers near it, one of which is silent. */
EvidenceReport reportOf(const std::vector<std::uint32_t>& servers,
                        std::uint16_t attempt_age_ms = 50) {
  EvidenceReport report{"lac", 10, 1, 0, {}, {}};
  for (const std::uint32_t server : servers) {
    report.silent.push_back({BackendId(server), 1, 0, attempt_age_ms, kNeverMs});
  }
  return report;
}

EvidenceReport lifeOf(std::uint32_t server, std::uint16_t age_ms) {
  return {"lac", 10, 0, 0, {}, {{BackendId(server), age_ms}}};
}

struct Harness {
  /** Lets the time between two digests pass. @return what was told to the balancer, or nothing. */
  std::optional<EvidenceDigest> told(Endpoint to) {
    sent.clear();
    time.elapsed += milliseconds(200);
    collector.tell();
    const auto found = sent.find(to);
    return found == sent.end() ? std::nullopt : std::optional<EvidenceDigest>(found->second);
  }

  ManualTimeSource time;
  NullEventLog log;
  std::map<Endpoint, EvidenceDigest> sent;
  EvidenceCollector collector{
      EvidenceCollectorSettings(), "lac", time, log,
      [this](Endpoint to, const EvidenceDigest& digest) { sent.insert_or_assign(to, digest); }};
};

TEST_CASE("reports of several balancers are summed", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  EvidenceReport later = reportOf({5}, 10);
  later.silent[0].flows = 3;
  later.silent[0].retransmissions = 2;
  later.silent[0].liveness_age_ms = 700;
  later.survived_retransmissions = 4;
  harness.collector.onReport(later, kSecond);
  const auto digest = harness.told(kFirst);
  REQUIRE(digest);
  CHECK(digest->zone == "lac");
  CHECK(digest->survived_retransmissions == 4);
  REQUIRE(digest->silent.size() == 1);
  CHECK(digest->silent[0].reporters == 2);
  CHECK(digest->silent[0].silence == BackendSilence{BackendId(5), 4, 2, 210, 900});
}

TEST_CASE("a reporter counts once, however often it reports", "[evidence_collector]") {
  Harness harness;
  for (int report = 0; report < 5; ++report) {
    harness.collector.onReport(reportOf({5}), kFirst);
  }
  CHECK(harness.told(kFirst)->silent.at(0).reporters == 1);
}

TEST_CASE("a reporter that names most servers near it is left out", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5, 6}), kFirst);
  harness.collector.onReport(reportOf({5}), kSecond);
  EvidenceReport overloaded = reportOf({5, 6, 7, 8, 9, 10});
  overloaded.silent_backends = 6;
  harness.collector.onReport(overloaded, kFirst);
  CHECK(harness.collector.counters().reports_left_out == 1);
  const auto digest = harness.told(kFirst);
  REQUIRE(digest->silent.size() == 1);
  CHECK(digest->silent[0].reporters == 1);
  CHECK(digest->silent[0].silence.backend == BackendId(5));
  // What answers it counts all the same.
  EvidenceReport answered = lifeOf(5, 0);
  answered.silent_backends = 6;
  harness.collector.onReport(answered, kFirst);
  CHECK(harness.told(kSecond)->silent.empty());
}

TEST_CASE("an answer to anybody ends the evidence, and is told", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  harness.collector.onReport(reportOf({5}), kSecond);
  CHECK(harness.told(kFirst)->silent.at(0).reporters == 2);
  harness.collector.onReport(lifeOf(5, 30), kThird);
  const auto digest = harness.told(kFirst);
  REQUIRE(digest);
  CHECK(digest->silent.empty());
  CHECK(digest->alive == std::vector<BackendLiveness>{{BackendId(5), 230}});
  CHECK_FALSE(harness.told(kFirst));
}

TEST_CASE("evidence ends by itself, and old reports tell nothing", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  harness.collector.onReport(reportOf({6}, 1501), kFirst);
  CHECK(harness.collector.digest().silent.size() == 1);
  harness.time.elapsed += milliseconds(1500);
  harness.collector.tell();
  CHECK(harness.collector.digest().silent.empty());
}

TEST_CASE("only what has changed is told, and each report is answered", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  CHECK(harness.told(kFirst)->silent.size() == 1);
  CHECK_FALSE(harness.told(kFirst));
  harness.collector.onReport(reportOf({6}), kSecond);
  CHECK(harness.told(kFirst)->silent.at(0).silence.backend == BackendId(6));
  CHECK(harness.told(kSecond) == std::nullopt);
  harness.collector.onReport({"lac", 10, 0, 0, {}, {}}, kFirst);
  CHECK(harness.told(kFirst)->silent.empty());
}

TEST_CASE("a balancer that reports first after a restart hears all", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5, 6, 7}), kFirst);
  CHECK(harness.told(kFirst)->silent.size() == 3);
  harness.collector.onReport(reportOf({8}), kSecond);
  CHECK(harness.told(kSecond)->silent.size() == 4);
}

TEST_CASE("more servers than fit a message are told one after the other", "[evidence_collector]") {
  Harness harness;
  std::set<BackendId> named;
  for (std::uint32_t from = 0; from < 4; ++from) {
    std::vector<std::uint32_t> servers;
    for (std::uint32_t server = 1; server <= kMaxBackendsInEvidence; ++server) {
      servers.push_back(100 * from + server);
    }
    harness.collector.onReport(reportOf(servers), {10 + from, 1});
  }
  for (int round = 0; round < 15; ++round) {
    if (const auto digest = harness.told({10, 1})) {
      CHECK(digest->silent.size() <= kMaxBackendsInEvidence);
      for (const SummedSilence& summed : digest->silent) {
        named.insert(summed.silence.backend);
      }
    }
    for (std::uint32_t from = 1; from < 4; ++from) {
      harness.collector.onReport(reportOf({100 * from + 1}), {10 + from, 1});
    }
  }
  CHECK(named.size() > kMaxBackendsInEvidence);
}

TEST_CASE("nobody is told for longer than it reports", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  harness.time.elapsed += seconds(16);
  harness.collector.onReport(reportOf({6}), kSecond);
  CHECK_FALSE(harness.told(kFirst));
}

}  // namespace
}  // namespace lugfork
