#include "discovery/evidence_collector.h"

#include <catch2/catch.hpp>
#include <set>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

const Endpoint kFirst{1, 1};
const Endpoint kSecond{2, 1};
const Endpoint kThird{3, 1};

/** A report of a balancer that uses ten backends of its zone, one of which is silent. */
EvidenceReport reportOf(const std::vector<std::uint32_t>& backends,
                        std::uint16_t attempt_age_ms = 50) {
  EvidenceReport report{"lac", 10, 1, 0, {}, {}};
  for (const std::uint32_t backend : backends) {
    report.silent.push_back({BackendId(backend), 1, 0, attempt_age_ms, kNeverMs});
  }
  return report;
}

EvidenceReport lifeReport(std::uint32_t backend, std::uint16_t age_ms) {
  return {"lac", 10, 0, 0, {}, {{BackendId(backend), age_ms}}};
}

struct Harness {
  /** Advances by the digest interval. @return the digest sent to the balancer, if there is one. */
  std::optional<EvidenceDigest> digestFor(Endpoint to) {
    sent.clear();
    time.elapsed += milliseconds(200);
    collector.sendDigests();
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

TEST_CASE("reports of several balancers are aggregated", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  EvidenceReport later = reportOf({5}, 10);
  later.silent[0].flows = 3;
  later.silent[0].retransmissions = 2;
  later.silent[0].liveness_age_ms = 700;
  later.survived_retransmissions = 4;
  harness.collector.onReport(later, kSecond);
  const auto digest = harness.digestFor(kFirst);
  REQUIRE(digest);
  CHECK(digest->zone == "lac");
  CHECK(digest->survived_retransmissions == 4);
  REQUIRE(digest->silent.size() == 1);
  CHECK(digest->silent[0].reporters == 2);
  CHECK(digest->silent[0].silence == BackendSilence{BackendId(5), 4, 2, 210, 900});
}

TEST_CASE("a reporter that reports repeatedly counts once", "[evidence_collector]") {
  Harness harness;
  for (int report = 0; report < 5; ++report) {
    harness.collector.onReport(reportOf({5}), kFirst);
  }
  CHECK(harness.digestFor(kFirst)->silent.at(0).reporters == 1);
}

TEST_CASE("a reporter that names most backends of its zone is excluded", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5, 6}), kFirst);
  harness.collector.onReport(reportOf({5}), kSecond);
  EvidenceReport overloaded = reportOf({5, 6, 7, 8, 9, 10});
  overloaded.silent_backends = 6;
  harness.collector.onReport(overloaded, kFirst);
  CHECK(harness.collector.counters().reports_excluded == 1);
  const auto digest = harness.digestFor(kFirst);
  REQUIRE(digest->silent.size() == 1);
  CHECK(digest->silent[0].reporters == 1);
  CHECK(digest->silent[0].silence.backend == BackendId(5));
  // Its signs of life of backends still count.
  EvidenceReport answered = lifeReport(5, 0);
  answered.silent_backends = 6;
  harness.collector.onReport(answered, kFirst);
  CHECK(harness.digestFor(kSecond)->silent.empty());
}

TEST_CASE("an answer to any balancer ends the evidence and is sent in a digest",
          "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  harness.collector.onReport(reportOf({5}), kSecond);
  CHECK(harness.digestFor(kFirst)->silent.at(0).reporters == 2);
  harness.collector.onReport(lifeReport(5, 30), kThird);
  const auto digest = harness.digestFor(kFirst);
  REQUIRE(digest);
  CHECK(digest->silent.empty());
  CHECK(digest->alive == std::vector<BackendLiveness>{{BackendId(5), 230}});
  CHECK_FALSE(harness.digestFor(kFirst));
}

TEST_CASE("evidence expires, and reports with old attempts are ignored", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  harness.collector.onReport(reportOf({6}, 1501), kFirst);
  CHECK(harness.collector.digest().silent.size() == 1);
  harness.time.elapsed += milliseconds(1500);
  harness.collector.sendDigests();
  CHECK(harness.collector.digest().silent.empty());
}

TEST_CASE("digests contain only changes, and each report is answered", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  CHECK(harness.digestFor(kFirst)->silent.size() == 1);
  CHECK_FALSE(harness.digestFor(kFirst));
  harness.collector.onReport(reportOf({6}), kSecond);
  CHECK(harness.digestFor(kFirst)->silent.at(0).silence.backend == BackendId(6));
  CHECK(harness.digestFor(kSecond) == std::nullopt);
  harness.collector.onReport({"lac", 10, 0, 0, {}, {}}, kFirst);
  CHECK(harness.digestFor(kFirst)->silent.empty());
}

TEST_CASE("a balancer's first report is answered with the complete state", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5, 6, 7}), kFirst);
  CHECK(harness.digestFor(kFirst)->silent.size() == 3);
  harness.collector.onReport(reportOf({8}), kSecond);
  CHECK(harness.digestFor(kSecond)->silent.size() == 4);
}

TEST_CASE("backends beyond the limit of a message are sent in later digests",
          "[evidence_collector]") {
  Harness harness;
  std::set<BackendId> named;
  for (std::uint32_t reporter = 0; reporter < 4; ++reporter) {
    std::vector<std::uint32_t> backends;
    for (std::uint32_t backend = 1; backend <= kMaxBackendsInEvidence; ++backend) {
      backends.push_back(100 * reporter + backend);
    }
    harness.collector.onReport(reportOf(backends), {10 + reporter, 1});
  }
  for (int round = 0; round < 15; ++round) {
    if (const auto digest = harness.digestFor({10, 1})) {
      CHECK(digest->silent.size() <= kMaxBackendsInEvidence);
      for (const SummedSilence& summed : digest->silent) {
        named.insert(summed.silence.backend);
      }
    }
    for (std::uint32_t reporter = 1; reporter < 4; ++reporter) {
      harness.collector.onReport(reportOf({100 * reporter + 1}), {10 + reporter, 1});
    }
  }
  CHECK(named.size() > kMaxBackendsInEvidence);
}

TEST_CASE("a balancer that stops reporting gets no more digests", "[evidence_collector]") {
  Harness harness;
  harness.collector.onReport(reportOf({5}), kFirst);
  harness.time.elapsed += seconds(16);
  harness.collector.onReport(reportOf({6}), kSecond);
  CHECK_FALSE(harness.digestFor(kFirst));
}

}  // namespace
}  // namespace lugfork
