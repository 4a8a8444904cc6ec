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
  std::vector<Ranked> overrides = rankOverrides(map, summary);
  Decision decision;
  decision.cooled = findCooled(overrides, fairShare * options_.coolShare, now);
  const std::vector<Ranked> hot = findHot(map, summary, fairShare * options_.splitShare);
  fit(decision, hot, std::move(overrides));
  return decision;
}

// The overrides of the map with their certain rates, coolest first. The overestimate would keep a
// key that one VM still lists above the mark by the missing rates of all others.
std::vector<HotKeyPolicy::Ranked> HotKeyPolicy::rankOverrides(const ShardMap& map,
                                                              const HotKeySummary& summary) const
{
  std::unordered_map<base::Key, double> rates;
  for (const HotKeySummary::Entry& entry : summary.entries) {
    rates.emplace(entry.key, entry.guaranteedRate());
  }
  std::vector<Ranked> ranked;
  for (const KeyOverride& hot : map.overrides()) {
    const auto at = rates.find(hot.key);
    ranked.push_back({ hot.key, at == rates.end() ? 0.0 : at->second });
  }
  std::ranges::stable_sort(ranked, {}, &Ranked::rate);
  return ranked;
}

std::vector<base::Key> HotKeyPolicy::findCooled(const std::vector<Ranked>& overrides,
                                                double mark,
                                                base::TimePoint now)
{
  std::unordered_map<base::Key, base::TimePoint> stillCool;
  std::vector<base::Key> cooled;
  for (const Ranked& hot : overrides) {
    if (hot.rate >= mark && mark > 0) {
      continue;
    }
    const auto at = coolSince_.find(hot.key);
    const base::TimePoint since = at == coolSince_.end() ? now : at->second;
    stillCool.emplace(hot.key, since);
    if (now - since >= options_.coolDuration) {
      cooled.push_back(hot.key);
    }
  }
  coolSince_ = std::move(stillCool);
  return cooled;
}

// Keys that are surely above the mark and not yet split out, hottest first.
std::vector<HotKeyPolicy::Ranked> HotKeyPolicy::findHot(const ShardMap& map,
                                                        const HotKeySummary& summary,
                                                        double mark) const
{
  std::vector<Ranked> hot;
  for (const HotKeySummary::Entry& entry : summary.entries) {
    if (entry.guaranteedRate() > mark && !map.overrideOf(entry.key) &&
        ShardMapBuilder::canOverride(entry.key)) {
      hot.push_back({ entry.key, entry.guaranteedRate() });
    }
  }
  std::ranges::stable_sort(hot, std::ranges::greater{}, &Ranked::rate);
  return hot;
}

// Takes hot keys while overrides are free. When all are in use, a clearly hotter key sends the
// coolest override home first and is split out once that one has returned.
void HotKeyPolicy::fit(Decision& decision,
                       const std::vector<Ranked>& hot,
                       std::vector<Ranked> overrides) const
{
  std::size_t free =
    options_.maxOverrides > overrides.size() ? options_.maxOverrides - overrides.size() : 0;
  std::erase_if(overrides, [&](const Ranked& entry) {
    return std::ranges::find(decision.cooled, entry.key) != decision.cooled.end();
  });
  // Places that cooled keys are about to free.
  std::size_t returning = decision.cooled.size();
  auto coolest = overrides.begin();
  // The configured number may have been lowered below what is in use.
  for (std::size_t used = overrides.size(); used > options_.maxOverrides; --used) {
    decision.cooled.push_back(coolest->key);
    ++coolest;
  }
  for (const Ranked& key : hot) {
    if (free > 0) {
      decision.hot.push_back(key.key);
      --free;
    } else if (returning > 0) {
      --returning;
    } else if (coolest != overrides.end() && key.rate > coolest->rate * options_.replaceFactor) {
      decision.cooled.push_back(coolest->key);
      ++coolest;
    }
  }
}

} // namespace sycamore::placement
