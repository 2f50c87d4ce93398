#include "wire/evidence_messages.h"

#include <algorithm>

namespace lugfork {

namespace {

/** Ages are sent in steps of these [ms], rounded down: a sign of life must not seem older. */
constexpr std::uint16_t kAgeStep = 10;
constexpr std::uint16_t kLifeAgeStep = 20;
constexpr std::uint8_t kNever = 0xff;
constexpr std::uint8_t kMostInHalfByte = 15;
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

std::uint8_t packAge(std::uint16_t age_ms, std::uint16_t step) {
  const int steps = std::min<int>(age_ms / step, kNever - 1);
  return age_ms == kNeverMs ? kNever : static_cast<std::uint8_t>(steps);
}

std::uint16_t unpackAge(std::uint8_t steps, std::uint16_t step) {
  return steps == kNever ? kNeverMs : static_cast<std::uint16_t>(steps * step);
}

}  // namespace

void BackendSilence::packTo(Bytes& out) const {
  packId(backend, out);
  const int counts =
      (std::min(flows, kMostInHalfByte) << 4) | std::min(retransmissions, kMostInHalfByte);
  out.push_back(static_cast<std::uint8_t>(counts));
  out.push_back(packAge(attempt_age_ms, kAgeStep));
  out.push_back(packAge(liveness_age_ms, kLifeAgeStep));
}

BackendSilence BackendSilence::unpack(const std::uint8_t* bytes) {
  const std::uint8_t counts = bytes[kIdBytes];
  return {unpackId(bytes), static_cast<std::uint8_t>(counts >> 4),
          static_cast<std::uint8_t>(counts & kMostInHalfByte),
          unpackAge(bytes[kIdBytes + 1], kAgeStep), unpackAge(bytes[kIdBytes + 2], kLifeAgeStep)};
}

void BackendLiveness::packTo(Bytes& out) const {
  packId(backend, out);
  out.push_back(packAge(age_ms, kAgeStep));
}

BackendLiveness BackendLiveness::unpack(const std::uint8_t* bytes) {
  return {unpackId(bytes), unpackAge(bytes[kIdBytes], kAgeStep)};
}

void SummedSilence::packTo(Bytes& out) const {
  out.push_back(reporters);
  silence.packTo(out);
}

SummedSilence SummedSilence::unpack(const std::uint8_t* bytes) {
  return {bytes[0], BackendSilence::unpack(bytes + 1)};
}

}  // namespace lugfork
