#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <utility>
#include <vector>

namespace sycamore::dispatch {

// Returns how many of `servers` one of `vms` entry VMs compares for a request. What VMs know of
// each other's requests is some hundred milliseconds old: if many compared all servers, they would
// send to the same few until they learn that these are busy. A few VMs see most of the load
// themselves.
inline std::size_t comparedServers(std::size_t servers, std::size_t vms)
{
  constexpr std::size_t kMinCompared = 6;
  constexpr std::size_t kVmsThatCompareAll = 12;
  const std::size_t share = servers * kVmsThatCompareAll / std::max<std::size_t>(1, vms);
  return std::min(servers, std::max(kMinCompared, share));
}

// Leaves `count` elements that are drawn at random in the vector, and returns the others.
template<typename Element, typename Generator>
std::vector<Element> splitAtRandom(std::vector<Element>& elements,
                                   std::size_t count,
                                   Generator& generator)
{
  const std::size_t kept = std::min(count, elements.size());
  for (std::size_t i = 0; kept < elements.size() && i < kept; ++i) {
    std::uniform_int_distribution<std::size_t> draw(i, elements.size() - 1);
    std::swap(elements[i], elements[draw(generator)]);
  }
  const auto middle = elements.begin() + static_cast<std::ptrdiff_t>(kept);
  std::vector<Element> others(middle, elements.end());
  elements.erase(middle, elements.end());
  return others;
}

} // namespace sycamore::dispatch
