#include <dispatch/PriorityThrottle.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Time constant of the exponential decay of the counts.
constexpr double kMeanSeconds = 1.0;
// Factor by which the share of refused urgent requests tightens the bound of less urgent ones.
constexpr double kTighteningFactor = 1.5;
// Minimum count of urgent requests for their refused share to be meaningful.
constexpr double kMinRequests = 2.0;

} // namespace

void PriorityThrottle::onRequestSent(unsigned priority, base::TimePoint now)
{
  decay(now);
  countsOf(priority).received += 1;
}

void PriorityThrottle::onRequestRefused(unsigned priority, base::TimePoint now)
{
  decay(now);
  countsOf(priority).received += 1;
  countsOf(priority).refused += 1;
}

double PriorityThrottle::boundFactor(unsigned priority, base::TimePoint now)
{
  decay(now);
  Counts urgent;
  for (unsigned i = 0; i < std::min(priority, kPriorityLevels); ++i) {
    urgent.received += counts_[i].received;
    urgent.refused += counts_[i].refused;
  }
  if (urgent.received < kMinRequests) {
    return 1;
  }
  return std::max(kMinBoundFactor, 1 - kTighteningFactor * urgent.refused / urgent.received);
}

void PriorityThrottle::decay(base::TimePoint now)
{
  const double passed = std::chrono::duration<double>(now - decayedAt_).count();
  const double factor = std::exp(-passed / kMeanSeconds);
  for (Counts& counts : counts_) {
    counts.received *= factor;
    counts.refused *= factor;
  }
  decayedAt_ = now;
}

PriorityThrottle::Counts& PriorityThrottle::countsOf(unsigned priority)
{
  return counts_[priorityLevel(priority)];
}

} // namespace sycamore::dispatch
