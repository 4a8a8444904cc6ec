#pragma once

#include <cstdint>

namespace sycamore::placement {

// Returns the score of a pair of hashes for rendezvous hashing; the candidate with the highest
// score is chosen. Uses the finalizer of splitmix64, because an XXH3 call for each pair of names is
// ten times slower.
constexpr std::uint64_t rendezvousScore(std::uint64_t item, std::uint64_t candidate)
{
  std::uint64_t mixed = item * 0x9e3779b97f4a7c15ULL ^ candidate;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

} // namespace sycamore::placement
