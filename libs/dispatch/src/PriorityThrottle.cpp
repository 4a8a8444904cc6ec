#include <dispatch/PriorityThrottle.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Time constant of the counts.
constexpr double kMeanSeconds = 1.0;
// How strongly the share of refused urgent requests tightens the bound of the others.
constexpr double kStrength = 1.5;
// Fewer urgent requests than this say nothing.
constexpr double kFewestAsked = 2.0;

} // namespace

void PriorityThrottle::onRequestSent(unsigned priority, base::TimePoint now)
{
  decay(now);
  countsOf(priority).asked += 1;
}

void PriorityThrottle::onRequestRefused(unsigned priority, base::TimePoint now)
{
  decay(now);
  countsOf(priority).asked += 1;
  countsOf(priority).refused += 1;
}

double PriorityThrottle::boundFactor(unsigned priority, base::TimePoint now)
{
  decay(now);
  Counts urgent;
  for (unsigned i = 0; i < std::min(priority, kPriorityLevels); ++i) {
    urgent.asked += counts_[i].asked;
    urgent.refused += counts_[i].refused;
  }
  if (urgent.asked < kFewestAsked) {
    return 1;
  }
  return std::max(kMinBoundFactor, 1 - kStrength * urgent.refused / urgent.asked);
}

void PriorityThrottle::decay(base::TimePoint now)
{
  const double passed = std::chrono::duration<double>(now - decayedAt_).count();
  const double factor = std::exp(-passed / kMeanSeconds);
  for (Counts& counts : counts_) {
    counts.asked *= factor;
    counts.refused *= factor;
  }
  decayedAt_ = now;
}

PriorityThrottle::Counts& PriorityThrottle::countsOf(unsigned priority)
{
  return counts_[std::min(priority, kPriorityLevels - 1)];
}

} // namespace sycamore::dispatch
