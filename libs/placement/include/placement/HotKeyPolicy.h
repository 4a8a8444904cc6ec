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

// Decides which keys are split out of their shards and which return. Not thread-safe. A VM that
// takes over planning starts with an empty policy and learns the split-out keys from the map.
class HotKeyPolicy
{
public:
  struct Options
  {
    std::size_t maxOverrides = 260;
    // A key is hot above this part of a server's fair share of the load.
    double splitShare = 0.03;
    // A split-out key is cool below this part. Half of splitShare keeps keys near the mark in
    // place.
    double coolShare = 0.015;
    // A key returns once it has been cool for this long.
    base::Duration coolDuration = std::chrono::seconds(30);
    // With all overrides in use, a new key replaces one whose rate is below its own by this factor.
    double replaceFactor = 2.0;
  };

  struct Decision
  {
    // For PlanRequest::hotKeys, hottest first.
    std::vector<base::Key> hot;
    // For PlanRequest::cooledKeys.
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
  struct Ranked
  {
    base::Key key;
    double rate;
  };

  std::vector<Ranked> rankOverrides(const ShardMap& map, const HotKeySummary& summary) const;
  std::vector<base::Key> findCooled(const std::vector<Ranked>& overrides,
                                    double mark,
                                    base::TimePoint now);
  std::vector<Ranked> findHot(const ShardMap& map, const HotKeySummary& summary, double mark) const;
  void fit(Decision& decision, const std::vector<Ranked>& hot, std::vector<Ranked> overrides) const;

  Options options_;
  std::unordered_map<base::Key, base::TimePoint> coolSince_;
};

} // namespace sycamore::placement
