#include <placement/HotKeyPolicy.h>

#include <placement/ShardMapBuilder.h>

#include <algorithm>

namespace sycamore::placement {

HotKeyPolicy::HotKeyPolicy()
  : HotKeyPolicy(Options{})
{
}

HotKeyPolicy::HotKeyPolicy(Options options)
  : options_(options)
{
}

HotKeyPolicy::Decision HotKeyPolicy::decide(const ShardMap& map,
                                            const HotKeySummary& summary,
                                            std::size_t serverCount,
                                            base::TimePoint now)
{
  const double fairShare =
    summary.totalRate / static_cast<double>(std::max<std::size_t>(1, serverCount));
  std::vector<RankedKey> overrides = rankOverrides(map, summary);
  Decision decision;
  decision.cooled = findCooled(overrides, fairShare * options_.coolShare, now);
  const std::vector<RankedKey> hot = findHot(map, summary, fairShare * options_.splitShare);
  applyOverrideLimit(decision, hot, std::move(overrides));
  return decision;
}

// Returns the overrides of the map with their guaranteed rates, lowest first. With the
// overestimated rates, a key listed by only one VM would stay above the threshold because of the
// rates that the other VMs allow for unlisted keys.
std::vector<HotKeyPolicy::RankedKey> HotKeyPolicy::rankOverrides(const ShardMap& map,
                                                                 const HotKeySummary& summary) const
{
  std::unordered_map<base::Key, double> rates;
  for (const HotKeySummary::Entry& entry : summary.entries) {
    rates.emplace(entry.key, entry.guaranteedRate());
  }
  std::vector<RankedKey> rankedKeys;
  for (const KeyOverride& keyOverride : map.overrides()) {
    const auto found = rates.find(keyOverride.key);
    rankedKeys.push_back({ keyOverride.key, found == rates.end() ? 0.0 : found->second });
  }
  std::ranges::stable_sort(rankedKeys, {}, &RankedKey::rate);
  return rankedKeys;
}

std::vector<base::Key> HotKeyPolicy::findCooled(const std::vector<RankedKey>& overrides,
                                                double threshold,
                                                base::TimePoint now)
{
  std::unordered_map<base::Key, base::TimePoint> stillCool;
  std::vector<base::Key> cooled;
  for (const RankedKey& entry : overrides) {
    if (entry.rate >= threshold && threshold > 0) {
      continue;
    }
    const auto found = coolSince_.find(entry.key);
    const base::TimePoint since = found == coolSince_.end() ? now : found->second;
    stillCool.emplace(entry.key, since);
    if (now - since >= options_.coolDuration) {
      cooled.push_back(entry.key);
    }
  }
  coolSince_ = std::move(stillCool);
  return cooled;
}

// Returns the keys whose guaranteed rate is above the threshold and that have no override yet,
// hottest first.
std::vector<HotKeyPolicy::RankedKey> HotKeyPolicy::findHot(const ShardMap& map,
                                                           const HotKeySummary& summary,
                                                           double threshold) const
{
  std::vector<RankedKey> hot;
  for (const HotKeySummary::Entry& entry : summary.entries) {
    if (entry.guaranteedRate() > threshold && !map.overrideOf(entry.key) &&
        ShardMapBuilder::canOverride(entry.key)) {
      hot.push_back({ entry.key, entry.guaranteedRate() });
    }
  }
  std::ranges::stable_sort(hot, std::ranges::greater{}, &RankedKey::rate);
  return hot;
}

// Accepts hot keys while overrides are free. When all are in use, a clearly hotter key replaces the
// coolest override: that one returns first, and the hot key is split out once it has returned.
void HotKeyPolicy::applyOverrideLimit(Decision& decision,
                                      const std::vector<RankedKey>& hot,
                                      std::vector<RankedKey> overrides) const
{
  std::size_t freeOverrides =
    options_.maxOverrides > overrides.size() ? options_.maxOverrides - overrides.size() : 0;
  std::erase_if(overrides, [&](const RankedKey& entry) {
    return std::ranges::find(decision.cooled, entry.key) != decision.cooled.end();
  });
  // Overrides that cooled keys are about to free.
  std::size_t returningOverrides = decision.cooled.size();
  auto coolest = overrides.begin();
  // The limit may have been lowered below the number of overrides in use.
  for (std::size_t used = overrides.size(); used > options_.maxOverrides; --used) {
    decision.cooled.push_back(coolest->key);
    ++coolest;
  }
  for (const RankedKey& key : hot) {
    if (freeOverrides > 0) {
      decision.hot.push_back(key.key);
      --freeOverrides;
    } else if (returningOverrides > 0) {
      --returningOverrides;
    } else if (coolest != overrides.end() && key.rate > coolest->rate * options_.replaceFactor) {
      decision.cooled.push_back(coolest->key);
      ++coolest;
    }
  }
}

} // namespace sycamore::placement
