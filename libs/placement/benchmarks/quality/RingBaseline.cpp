#include "RingBaseline.h"

#include <base/KeyHash.h>

#include <algorithm>

namespace sycamore::placement::quality {

RingBaseline::RingBaseline(const std::vector<std::uint64_t>& servers)
  : shares_(servers.size())
{
  for (std::uint32_t i = 0; i < servers.size(); ++i) {
    for (int node = 0; node < kVirtualNodes; ++node) {
      ring_.emplace_back(base::hashBytes(std::to_string(node), servers[i]), i);
    }
  }
  std::ranges::sort(ring_);
  constexpr double kSpace = 18446744073709551616.0;
  for (std::size_t i = 0; i < ring_.size(); ++i) {
    // Unsigned arithmetic wraps around the ring.
    const std::uint64_t arc = ring_[i].first - ring_[(i + ring_.size() - 1) % ring_.size()].first;
    shares_[ring_[i].second] += static_cast<double>(arc) / kSpace;
  }
}

std::uint32_t RingBaseline::owner(std::uint64_t hash) const
{
  const auto at =
    std::ranges::lower_bound(ring_, hash, {}, &std::pair<std::uint64_t, std::uint32_t>::first);
  return at == ring_.end() ? ring_.front().second : at->second;
}

} // namespace sycamore::placement::quality
