#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <span>

#include "common/time_source.h"

namespace lugfork {

/** Incremental hash over the messages of a simulation; equal hashes mean equal traces. */
class TraceHash {
 public:
  TraceHash() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }

  void add(MonotonicTime at, std::span<const std::uint8_t> bytes) {
    const std::int64_t time = at.time_since_epoch().count();
    XXH3_64bits_update(state_.get(), &time, sizeof(time));
    XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
  }

  std::uint64_t digest() const { return XXH3_64bits_digest(state_.get()); }

 private:
  struct Free {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  std::unique_ptr<XXH3_state_t, Free> state_;
};

}  // namespace lugfork
