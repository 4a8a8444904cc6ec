#include "RendezvousBaseline.h"

#include <base/KeyHash.h>

#include <cstring>

namespace sycamore::placement::quality {

std::uint32_t RendezvousBaseline::owner(std::uint64_t hash) const
{
  std::uint32_t best = 0;
  std::uint64_t bestScore = 0;
  char bytes[sizeof(hash)];
  std::memcpy(bytes, &hash, sizeof(hash));
  for (std::uint32_t i = 0; i < servers_.size(); ++i) {
    const std::uint64_t score = base::hashBytes({ bytes, sizeof(bytes) }, servers_[i]);
    if (score > bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

} // namespace sycamore::placement::quality
