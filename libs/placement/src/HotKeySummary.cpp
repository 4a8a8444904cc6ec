#include <placement/HotKeySummary.h>

#include "JsonField.h"
#include <placement/ShardMapBuilder.h>

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace sycamore::placement {

namespace {

using Entries = std::unordered_map<base::Key, HotKeySummary::Entry>;

// Adds the entries of one summary. A key that the other summary lacks may have a rate of up to its
// maxUnlistedRate there.
void addEntries(Entries& sums, const HotKeySummary& summary, const HotKeySummary& other)
{
  for (const HotKeySummary::Entry& entry : summary.entries) {
    const auto [found, added] = sums.emplace(entry.key, entry);
    if (added) {
      found->second.rate += other.maxUnlistedRate;
      found->second.error += other.maxUnlistedRate;
    } else {
      // When the first summary was added, this key was given the maximum unlisted rate; the actual
      // rate replaces it.
      found->second.rate += entry.rate - summary.maxUnlistedRate;
      found->second.error += entry.error - summary.maxUnlistedRate;
    }
  }
}

double rounded(double rate)
{
  return std::round(rate * 10) / 10;
}

bool isBusier(const HotKeySummary::Entry& a, const HotKeySummary::Entry& b)
{
  return a.guaranteedRate() != b.guaranteedRate() ? a.guaranteedRate() > b.guaranteedRate()
                                                  : a.key < b.key;
}

} // namespace

HotKeySummary merge(const HotKeySummary& a, const HotKeySummary& b, std::size_t maxEntries)
{
  Entries sums;
  sums.reserve(a.entries.size() + b.entries.size());
  addEntries(sums, a, b);
  addEntries(sums, b, a);
  HotKeySummary merged;
  merged.totalRate = a.totalRate + b.totalRate;
  merged.maxUnlistedRate = a.maxUnlistedRate + b.maxUnlistedRate;
  for (auto& [key, entry] : sums) {
    merged.entries.push_back(std::move(entry));
  }
  std::ranges::sort(merged.entries, isBusier);
  for (std::size_t i = maxEntries; i < merged.entries.size(); ++i) {
    merged.maxUnlistedRate = std::max(merged.maxUnlistedRate, merged.entries[i].rate);
  }
  if (merged.entries.size() > maxEntries) {
    merged.entries.resize(maxEntries);
  }
  return merged;
}

nlohmann::json toJson(const HotKeySummary& summary)
{
  nlohmann::json keys = nlohmann::json::array();
  for (const HotKeySummary::Entry& entry : summary.entries) {
    if (ShardMapBuilder::canOverride(entry.key)) {
      keys.push_back({ entry.key.value(), rounded(entry.rate), rounded(entry.error) });
    }
  }
  return { { "total", rounded(summary.totalRate) },
           { "missing", rounded(summary.maxUnlistedRate) },
           { "keys", std::move(keys) } };
}

HotKeySummary hotKeySummaryFromJson(const nlohmann::json& value)
{
  const JsonField root(value, "");
  root.requireFields({ "total", "missing", "keys" });
  HotKeySummary summary;
  summary.totalRate = root.field("total").asNonNegative();
  summary.maxUnlistedRate = root.field("missing").asNonNegative();
  const JsonField keys = root.field("keys");
  keys.requireArray();
  for (std::size_t i = 0; i < keys.value().size(); ++i) {
    const JsonField row = keys.element(i);
    row.requireSize(3);
    summary.entries.push_back({ base::Key(row.element(0).asString()),
                                row.element(1).asNonNegative(),
                                row.element(2).asNonNegative() });
  }
  return summary;
}

} // namespace sycamore::placement
