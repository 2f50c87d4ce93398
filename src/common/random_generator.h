#pragma once

#include <cstdint>
#include <memory>

namespace lugfork {

/** Source of random numbers for the core. */
class RandomGenerator {
 public:
  virtual ~RandomGenerator() = default;

  /** @return a uniformly distributed 64-bit number. */
  virtual std::uint64_t next() = 0;

  /** @return a uniformly distributed number in [0, bound); 0 when bound is 0. */
  std::uint64_t below(std::uint64_t bound) {
    return bound == 0 ? 0 : static_cast<std::uint64_t>((static_cast<Wide>(next()) * bound) >> 64);
  }

  /** @return a uniformly distributed number in [0, 1). */
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

 private:
  __extension__ using Wide = unsigned __int128;
};

/** @return a PCG64 generator whose sequence depends only on the seed. */
std::unique_ptr<RandomGenerator> makeSeededRandom(std::uint64_t seed);

/** @return a seed from the operating system's entropy source. */
std::uint64_t entropySeed();

}  // namespace lugfork
