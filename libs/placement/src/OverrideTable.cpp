#include <placement/OverrideTable.h>

#include <base/KeyHash.h>

#include <bit>

namespace sycamore::placement {

OverrideTable::OverrideTable(std::span<const KeyOverride> overrides)
{
  if (overrides.empty()) {
    return;
  }
  // At most half full, so that a miss rarely takes a second probe.
  slots_.resize(std::bit_ceil(overrides.size() * 2));
  const std::size_t mask = slots_.size() - 1;
  for (std::size_t i = 0; i < overrides.size(); ++i) {
    const std::uint64_t hash = base::hashBytes(overrides[i].key.value());
    std::size_t slot = hash & mask;
    while (slots_[slot].used) {
      slot = (slot + 1) & mask;
    }
    slots_[slot] = { hash, static_cast<std::uint32_t>(i), true };
  }
}

std::optional<std::size_t> OverrideTable::find(std::uint64_t hash,
                                               std::string_view key,
                                               std::span<const KeyOverride> overrides) const
{
  if (slots_.empty()) {
    return std::nullopt;
  }
  const std::size_t mask = slots_.size() - 1;
  for (std::size_t slot = hash & mask; slots_[slot].used; slot = (slot + 1) & mask) {
    if (slots_[slot].hash == hash && overrides[slots_[slot].position].key.value() == key) {
      return slots_[slot].position;
    }
  }
  return std::nullopt;
}

} // namespace sycamore::placement
