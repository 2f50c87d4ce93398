#include "discovery/peer_client.h"

#include <cmath>

namespace lugfork {

LinkClass linkClassOf(double megabits_per_second) {
  if (megabits_per_second < 2) {
    return 0;
  }
  return static_cast<LinkClass>(std::log2(megabits_per_second));
}

}  // namespace lugfork
