#pragma once

#include <placement/KeyOverride.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sycamore::placement {

// Open-addressing hash table from key hash to position among the overrides of a map. ShardMap
// searches it for every request, so a miss costs one probe and no second hash of the key.
class OverrideTable
{
public:
  OverrideTable() = default;
  explicit OverrideTable(std::span<const KeyOverride> overrides);

  // Returns the position of the key, whose base::hashBytes value is `hash`. The caller passes the
  // same overrides as to the constructor.
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
