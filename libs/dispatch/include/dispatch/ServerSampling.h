#pragma once

#include <base/Ids.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string_view>
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

// Returns how closely a VM and a server belong together, the same in each process. Each VM keeps
// connections to the servers with the highest values. When VMs or servers come and go, the values
// of the others stay.
inline std::uint64_t serverAffinity(const base::VmId& vm, const base::ServerId& server)
{
  // FNV-1a, which is defined for all compilers, unlike std::hash.
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = 14695981039346656037ULL;
  const auto add = [&hash](std::string_view text) {
    for (const char character : text) {
      hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
    }
  };
  add(vm.value());
  add("/");
  add(server.value());
  // Mixes the last characters, by which ids often differ, into the upper bits.
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

// Leaves `count` elements in the vector, and returns the others. Most are those with the highest
// affinity, so that a VM uses the same few servers again and again and its connections to them stay
// open; some are drawn at random, so that the VM finds less busy ones if its own are busy.
template<typename Element, typename Generator, typename Affinity>
std::vector<Element> splitByAffinity(std::vector<Element>& elements,
                                     std::size_t count,
                                     Generator& generator,
                                     const Affinity& affinity)
{
  constexpr std::size_t kDrawn = 2;
  if (count >= elements.size()) {
    return {};
  }
  const std::size_t own = count - std::min(count, kDrawn);
  const auto end = elements.begin() + static_cast<std::ptrdiff_t>(own);
  std::ranges::nth_element(elements, end, std::greater{}, affinity);
  std::vector<Element> drawn(end, elements.end());
  elements.erase(end, elements.end());
  std::vector<Element> others = splitAtRandom(drawn, count - own, generator);
  elements.insert(elements.end(), drawn.begin(), drawn.end());
  return others;
}

} // namespace sycamore::dispatch
