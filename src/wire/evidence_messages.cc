#include "wire/evidence_messages.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Resolution of encoded ages. They are rounded down so that a sign of life never appears older. */
constexpr std::uint16_t kAgeStepMs = 10;
constexpr std::uint16_t kLivenessAgeStepMs = 20;
constexpr std::uint8_t kNeverSteps = 0xff;
constexpr std::uint8_t kMaxNibble = 15;
constexpr std::size_t kIdBytes = 4;

void packId(BackendId backend, Bytes& out) {
  for (std::size_t index = 0; index < kIdBytes; ++index) {
    out.push_back(static_cast<std::uint8_t>(backend.value() >> (8 * index)));
  }
}

BackendId unpackId(const std::uint8_t* bytes) {
  std::uint32_t id = 0;
  for (std::size_t index = 0; index < kIdBytes; ++index) {
    id |= static_cast<std::uint32_t>(bytes[index]) << (8 * index);
  }
  return BackendId(id);
}

std::uint8_t packAge(std::uint16_t age_ms, std::uint16_t step_ms) {
  const int steps = std::min<int>(age_ms / step_ms, kNeverSteps - 1);
  return age_ms == kNeverMs ? kNeverSteps : static_cast<std::uint8_t>(steps);
}

std::uint16_t unpackAge(std::uint8_t steps, std::uint16_t step_ms) {
  return steps == kNeverSteps ? kNeverMs : static_cast<std::uint16_t>(steps * step_ms);
}

}  // namespace

void BackendSilence::packTo(Bytes& out) const {
  packId(backend, out);
  const int counts = (std::min(flows, kMaxNibble) << 4) | std::min(retransmissions, kMaxNibble);
  out.push_back(static_cast<std::uint8_t>(counts));
  out.push_back(packAge(attempt_age_ms, kAgeStepMs));
  out.push_back(packAge(liveness_age_ms, kLivenessAgeStepMs));
}

BackendSilence BackendSilence::unpack(const std::uint8_t* bytes) {
  const std::uint8_t counts = bytes[kIdBytes];
  return {unpackId(bytes), static_cast<std::uint8_t>(counts >> 4),
          static_cast<std::uint8_t>(counts & kMaxNibble),
          unpackAge(bytes[kIdBytes + 1], kAgeStepMs),
          unpackAge(bytes[kIdBytes + 2], kLivenessAgeStepMs)};
}

void BackendLiveness::packTo(Bytes& out) const {
  packId(backend, out);
  out.push_back(packAge(age_ms, kAgeStepMs));
}

BackendLiveness BackendLiveness::unpack(const std::uint8_t* bytes) {
  return {unpackId(bytes), unpackAge(bytes[kIdBytes], kAgeStepMs)};
}

void SummedSilence::packTo(Bytes& out) const {
  out.push_back(reporters);
  silence.packTo(out);
}

SummedSilence SummedSilence::unpack(const std::uint8_t* bytes) {
  return {bytes[0], BackendSilence::unpack(bytes + 1)};
}

}  // namespace lugfork
