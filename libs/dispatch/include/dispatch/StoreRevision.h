#pragma once

#include <cstdint>

namespace sycamore::dispatch {

// The store may be restored from a backup that is some seconds old. Its revisions then go back and
// are given out again; an era counts its restorations. The router keeps both in one number, which
// orders all states of the store: the era in the upper bits, the store's own revision in the
// others.
inline constexpr unsigned kStoredRevisionBits = 40;

constexpr std::uint64_t revisionInEra(std::uint64_t era, std::uint64_t storedRevision)
{
  return (era << kStoredRevisionBits) + storedRevision;
}

constexpr std::uint64_t eraOf(std::uint64_t revision)
{
  return revision >> kStoredRevisionBits;
}

// Returns the revision as the store counts it.
constexpr std::uint64_t storedRevisionOf(std::uint64_t revision)
{
  return revision & ((std::uint64_t{ 1 } << kStoredRevisionBits) - 1);
}

} // namespace sycamore::dispatch
