#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "wire/datagram.h"

/** What balancers of one zone tell each other of servers that do not answer. */
namespace lugfork {

/** Age of something that never was [ms]. */
inline constexpr std::uint16_t kNeverMs = 0xffff;
/**
 * Servers in one digest at most, which stays under half a kilobyte with its headers. In a report
 * the bound holds for the silent servers, and for signs of life of single servers.
 */
inline constexpr std::size_t kMaxBackendsInEvidence = 48;

/** What one balancer has seen of a server that does not answer it. */
struct BackendSilence {
  BackendId backend;
  /** Flows that went unanswered since its last sign of life. */
  std::uint8_t flows = 0;
  /** Most repetitions of one of them. */
  std::uint8_t retransmissions = 0;
  /** Age of the last unanswered attempt [ms]. */
  std::uint16_t attempt_age_ms = 0;
  /** Age of the last sign of life [ms]. */
  std::uint16_t liveness_age_ms = kNeverMs;
  /** Counts above 15 and ages above 2.5 s (attempt) and 5 s (life) are sent as these limits. */
  static constexpr std::uint32_t kPackedBytes = 7;
  void packTo(Bytes& out) const;
  static BackendSilence unpack(const std::uint8_t* bytes);
  bool operator==(const BackendSilence&) const = default;
};

/** A server that answers. */
struct BackendLiveness {
  BackendId backend;
  /** Age of the sign of life [ms]. */
  std::uint16_t age_ms = 0;
  static constexpr std::uint32_t kPackedBytes = 5;
  void packTo(Bytes& out) const;
  static BackendLiveness unpack(const std::uint8_t* bytes);
  bool operator==(const BackendLiveness&) const = default;
};

/** One balancer's observations, sent to the balancer that sums for its zone. */
struct EvidenceReport {
  /** Zone of who reports: its observations hold for that zone only. */
  std::string zone;
  /** Servers near the reporter that it has used lately, and how many of these do not answer it. */
  std::uint16_t backends_in_use = 0;
  std::uint16_t silent_backends = 0;
  /** Most repetitions after which a server still answered lately. */
  std::uint8_t survived_retransmissions = 0;
  std::vector<BackendSilence> silent;
  std::vector<BackendLiveness> alive;
  auto fields() {
    return std::tie(zone, backends_in_use, silent_backends, survived_retransmissions, silent,
                    alive);
  }
};

/** What a zone's balancers have seen of a server, summed. */
struct SummedSilence {
  /** Different balancers that got no answer. */
  std::uint8_t reporters = 0;
  /** Flows and last attempt over all, most repetitions, last sign of life to any. */
  BackendSilence silence;
  static constexpr std::uint32_t kPackedBytes = 1 + BackendSilence::kPackedBytes;
  void packTo(Bytes& out) const;
  static SummedSilence unpack(const std::uint8_t* bytes);
  bool operator==(const SummedSilence&) const = default;
};

/** What the balancers of a zone have seen together, sent to those that report. */
struct EvidenceDigest {
  /** Zone of the sender; a receiver in another zone stops reporting to it. */
  std::string zone;
  std::uint8_t survived_retransmissions = 0;
  std::vector<SummedSilence> silent;
  std::vector<BackendLiveness> alive;
  auto fields() { return std::tie(zone, survived_retransmissions, silent, alive); }
};

}  // namespace lugfork
