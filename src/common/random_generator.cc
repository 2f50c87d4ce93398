#include "common/random_generator.h"

#include <sodium.h>

#include <pcg_random.hpp>

namespace lugfork {

namespace {

class PcgRandomGenerator : public RandomGenerator {
 public:
  explicit PcgRandomGenerator(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  pcg64 engine_;
};

}  // namespace

std::unique_ptr<RandomGenerator> makeSeededRandom(std::uint64_t seed) {
  return std::make_unique<PcgRandomGenerator>(seed);
}

std::uint64_t entropySeed() {
  std::uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  return seed;
}

}  // namespace lugfork
