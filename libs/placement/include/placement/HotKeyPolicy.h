#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <placement/HotKeySummary.h>
#include <placement/ShardMap.h>

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace sycamore::placement {

// Decides which hot keys get an override (a shard of their own) and which overridden keys return to
// their home shard. Not thread-safe. A VM that takes over planning starts with an empty policy and
// takes the existing overrides from the map.
class HotKeyPolicy
{
public:
  struct Options
  {
    std::size_t maxOverrides = 260;
    // Fraction of a server's fair share of the load above which a key is hot.
    double splitShare = 0.03;
    // Fraction of a server's fair share below which an overridden key is cool. Half of splitShare,
    // so that keys near the threshold stay where they are.
    double coolShare = 0.015;
    // Time for which a key must stay cool before it returns to its home shard.
    base::Duration coolDuration = std::chrono::seconds(30);
    // Factor by which a new key's rate must exceed that of an overridden key to replace it when all
    // overrides are in use.
    double replaceFactor = 2.0;
  };

  struct Decision
  {
    // Keys to split out, hottest first; input for PlanRequest::hotKeys.
    std::vector<base::Key> hot;
    // Keys to return to their home shards; input for PlanRequest::cooledKeys.
    std::vector<base::Key> cooled;
  };

  HotKeyPolicy();
  explicit HotKeyPolicy(Options options);

  // Decides from the merged summary of all entry VMs. serverCount is the number of usable servers.
  Decision decide(const ShardMap& map,
                  const HotKeySummary& summary,
                  std::size_t serverCount,
                  base::TimePoint now);

private:
  struct RankedKey
  {
    base::Key key;
    double rate;
  };

  std::vector<RankedKey> rankOverrides(const ShardMap& map, const HotKeySummary& summary) const;
  std::vector<base::Key> findCooled(const std::vector<RankedKey>& overrides,
                                    double threshold,
                                    base::TimePoint now);
  std::vector<RankedKey> findHot(const ShardMap& map,
                                 const HotKeySummary& summary,
                                 double threshold) const;
  void applyOverrideLimit(Decision& decision,
                          const std::vector<RankedKey>& hot,
                          std::vector<RankedKey> overrides) const;

  Options options_;
  std::unordered_map<base::Key, base::TimePoint> coolSince_;
};

} // namespace sycamore::placement
