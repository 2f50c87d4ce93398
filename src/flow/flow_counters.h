#pragma once

#include <array>
#include <cstdint>

#include "wire/codec_error.h"
#include "wire/datagram.h"

namespace lugfork {

inline constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::Last) + 1;
inline constexpr std::size_t kCodecErrorCount = static_cast<std::size_t>(CodecError::BadField) + 1;

/** Counters of the data path since the start of the process. */
struct FlowCounters {
  std::uint64_t placements = 0;
  std::uint64_t replacements = 0;
  /** Refusals forwarded without a replacement because the retry budget was exhausted. */
  std::uint64_t replacements_over_budget = 0;
  std::uint64_t forwards = 0;
  std::uint64_t forwards_continue_only = 0;
  /** Dropped datagrams whose token is newer than the configuration in force; clients retransmit. */
  std::uint64_t drops_configuration_behind = 0;
  /** Refusals that name a declared backend but do not match its address or service. */
  std::uint64_t drops_unverified_refusal = 0;
  /** Datagrams of a type that balancers do not accept. */
  std::uint64_t drops_unexpected_type = 0;
  std::array<std::uint64_t, kCodecErrorCount> drops_by_codec_error{};
  std::array<std::uint64_t, kReasonCount> refusals_by_reason{};
  std::array<std::uint64_t, kReasonCount> resets_by_reason{};
};

}  // namespace lugfork
