#include <dispatch/PermitReserve.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Time for which permits are kept for a priority after its last question. Kept permits delay less
// urgent requests once, without a loss of rate, so that this may bridge long gaps.
constexpr base::Duration kNeedValidity = std::chrono::seconds(10);
// Time after its last question up to which a priority still counts as waiting: longer than the
// longest time after which an entry VM is told to ask again.
constexpr base::Duration kWaitValidity = std::chrono::seconds(2);
// Parts of the capacity that are kept for one, two and more more urgent priorities. The rest has to
// suffice for the questions of less urgent requests, or permits go unused.
constexpr std::array<double, 3> kReserveShares{ 0.3, 0.45, 0.5 };
// A priority that has been denied for the time of this many permits gets the next one, so that it
// isn't starved by more urgent requests that could use the whole limit.
constexpr double kMaxPassedOver = 8;

} // namespace

void PermitReserve::onGranted(unsigned priority, base::TimePoint now)
{
  levels_[priorityLevel(priority)] = { now, {} };
}

void PermitReserve::onDenied(unsigned priority, base::TimePoint now)
{
  Level& level = levels_[priorityLevel(priority)];
  level.askedAt = now;
  level.deniedSince = level.deniedSince == base::TimePoint{} ? now : level.deniedSince;
}

bool PermitReserve::isPassedOver(unsigned priority, double perSecond, base::TimePoint now) const
{
  return levels_[priorityLevel(priority)].isPassedOver(perSecond, now);
}

double PermitReserve::reserveFor(unsigned priority,
                                 double capacity,
                                 double perSecond,
                                 base::TimePoint now) const
{
  const unsigned own = priorityLevel(priority);
  if (isPassedOver(own, perSecond, now)) {
    return 0;
  }
  const bool isAnyPassedOver = std::ranges::any_of(
    levels_, [&](const Level& level) { return level.isPassedOver(perSecond, now); });
  const double reserve = isAnyPassedOver ? 1 : 0;
  const auto moreUrgentInNeed =
    std::count_if(levels_.begin(), levels_.begin() + own, [now](const Level& level) {
      return level.isInNeed(now);
    });
  if (moreUrgentInNeed == 0) {
    return reserve;
  }
  const std::size_t share = std::min<std::size_t>(moreUrgentInNeed, kReserveShares.size()) - 1;
  return std::max(reserve, capacity * kReserveShares[share]);
}

bool PermitReserve::Level::isInNeed(base::TimePoint now) const
{
  return askedAt != base::TimePoint{} && now < askedAt + kNeedValidity;
}

bool PermitReserve::Level::isPassedOver(double perSecond, base::TimePoint now) const
{
  const double deniedSeconds = std::chrono::duration<double>(now - deniedSince).count();
  return deniedSince != base::TimePoint{} && now < askedAt + kWaitValidity &&
         deniedSeconds * perSecond >= kMaxPassedOver;
}

} // namespace sycamore::dispatch
