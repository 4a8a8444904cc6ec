#include <placement/PlannerOptions.h>

#include <algorithm>

namespace sycamore::placement {

PlannerOptions PlannerOptions::forShardCount(std::uint32_t shardCount)
{
  PlannerOptions options;
  options.maxMovesPerStep = std::max<std::size_t>(options.maxMovesPerStep, shardCount / 16);
  options.maxBalanceMovesPerStep =
    std::max<std::size_t>(options.maxBalanceMovesPerStep, shardCount / 256);
  options.maxSuccessorChangesPerStep =
    std::max<std::size_t>(options.maxSuccessorChangesPerStep, shardCount / 8);
  return options;
}

} // namespace sycamore::placement
