#pragma once

#include <placement/KeyOverride.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sycamore::placement {

// Open-addressing table from key hash to position among the overrides of a map. A part of ShardMap:
// every request asks it, so a miss costs one probe and no second hash of the key.
class OverrideTable
{
public:
  OverrideTable() = default;
  explicit OverrideTable(std::span<const KeyOverride> overrides);

  // Position of the key with this base::hashBytes value among the overrides given to the
  // constructor, which the caller passes again.
  std::optional<std::size_t> find(std::uint64_t hash,
                                  std::string_view key,
                                  std::span<const KeyOverride> overrides) const;

private:
  struct Slot
  {
    std::uint64_t hash = 0;
    std::uint32_t position = 0;
    bool used = false;
  };

  std::vector<Slot> slots_;
};

} // namespace sycamore::placement
