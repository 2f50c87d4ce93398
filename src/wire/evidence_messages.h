#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "wire/datagram.h"

/** Messages in which the balancers of a zone share evidence of unresponsive backends. */
namespace lugfork {

/** Age of an event that never occurred [ms]. */
inline constexpr std::uint16_t kNeverMs = 0xffff;
/**
 * Maximum number of backends in one digest, which keeps it below half a kilobyte with its headers.
 * In a report the bound applies to the silent and to the live backends separately.
 */
inline constexpr std::size_t kMaxBackendsInEvidence = 48;

/** One balancer's observation of a backend that doesn't answer it. */
struct BackendSilence {
  BackendId backend;
  /** Number of flows that went unanswered since the last sign of life. */
  std::uint8_t flows = 0;
  /** Maximum number of retransmissions of one of these flows. */
  std::uint8_t retransmissions = 0;
  /** Age of the last unanswered attempt [ms]. */
  std::uint16_t attempt_age_ms = 0;
  /** Age of the last sign of life [ms]; kNeverMs if there was none. */
  std::uint16_t liveness_age_ms = kNeverMs;
  /** Counts above 15 and ages above 2.5 s (attempt) and 5 s (liveness) are sent as these limits. */
  static constexpr std::uint32_t kPackedBytes = 7;
  void packTo(Bytes& out) const;
  static BackendSilence unpack(const std::uint8_t* bytes);
  bool operator==(const BackendSilence&) const = default;
};

/** A backend that answers. */
struct BackendLiveness {
  BackendId backend;
  /** Age of its last sign of life [ms]. */
  std::uint16_t age_ms = 0;
  static constexpr std::uint32_t kPackedBytes = 5;
  void packTo(Bytes& out) const;
  static BackendLiveness unpack(const std::uint8_t* bytes);
  bool operator==(const BackendLiveness&) const = default;
};

/** One balancer's observations, sent to the collector of its zone. */
struct EvidenceReport {
  /** Zone of the reporter; its observations are valid for that zone only. */
  std::string zone;
  /** Number of local backends that the reporter used recently, and how many of them are silent. */
  std::uint16_t backends_in_use = 0;
  std::uint16_t silent_backends = 0;
  /** Maximum number of retransmissions after which a backend recently still answered. */
  std::uint8_t survived_retransmissions = 0;
  std::vector<BackendSilence> silent;
  std::vector<BackendLiveness> alive;
  auto fields() {
    return std::tie(zone, backends_in_use, silent_backends, survived_retransmissions, silent,
                    alive);
  }
};

/** Observations of one backend, summed over the balancers of a zone. */
struct SummedSilence {
  /** Number of distinct balancers that got no answer. */
  std::uint8_t reporters = 0;
  /** Total of flows, maximum of retransmissions, latest attempt and sign of life of all reports. */
  BackendSilence silence;
  static constexpr std::uint32_t kPackedBytes = 1 + BackendSilence::kPackedBytes;
  void packTo(Bytes& out) const;
  static SummedSilence unpack(const std::uint8_t* bytes);
  bool operator==(const SummedSilence&) const = default;
};

/** Summed observations of a zone, sent by the collector to the reporters. */
struct EvidenceDigest {
  /** Zone of the collector; a receiver in another zone stops reporting to it. */
  std::string zone;
  std::uint8_t survived_retransmissions = 0;
  std::vector<SummedSilence> silent;
  std::vector<BackendLiveness> alive;
  auto fields() { return std::tie(zone, survived_retransmissions, silent, alive); }
};

}  // namespace lugfork
