#include <platform/CallBudget.h>

#include <algorithm>

namespace sycamore::platform {

namespace {

using Limits = CallBudget::Limits;

// Part of the bucket that a class leaves to more urgent ones.
constexpr std::array<double, 3> kReserve{ 0, 0.25, 0.5 };

// Window of a class after an outage, in parts of the spread. Status waits until the others have
// caught up.
struct Window
{
  double begin;
  double end;
};
constexpr std::array<Window, 3> kReturn{ { { 0, 0.25 }, { 0.25, 0.6 }, { 0.6, 1 } } };

// Smallest part of the share that refusals leave, so that the budget never stops all calls.
constexpr double kMinCut = 1.0 / 16;

// Part of the full share that is regained per second after refusals.
constexpr double kRegainPerSecond = 0.1;

double capacityFor(double perSecond, base::Duration burst)
{
  return perSecond * std::chrono::duration<double>(burst).count();
}

base::Duration scaled(base::Duration duration, double factor)
{
  return base::Duration(static_cast<base::Duration::rep>(duration.count() * factor));
}

TokenBucket fullBucket(double fleetRate, const Limits& limits, base::TimePoint now)
{
  const double rate = fleetRate * limits.usable;
  return { rate, capacityFor(rate, limits.burst), now };
}

} // namespace

CallBudget::CallBudget(const Limits& limits, base::TimePoint now)
  : limits_(limits)
  , buckets_{ fullBucket(limits.reads, limits, now), fullBucket(limits.writes, limits, now) }
  , cutAt_(now)
  , nextProbe_(now)
{
}

void CallBudget::setFleetSize(std::size_t vms, base::TimePoint now)
{
  fleetSize_ = std::max<std::size_t>(1, vms);
  adjustRates(now);
}

double CallBudget::share(base::TimePoint now) const
{
  const double passed = std::max(0.0, std::chrono::duration<double>(now - cutAt_).count());
  const double cut = std::min(1.0, cut_ + passed * kRegainPerSecond);
  return limits_.usable * cut / static_cast<double>(fleetSize_);
}

void CallBudget::adjustRates(base::TimePoint now)
{
  const double part = share(now);
  const auto adjust = [&](Kind kind, double fleetRate) {
    const double rate = fleetRate * part;
    bucket(kind).setRate(rate, capacityFor(rate, limits_.burst), now);
  };
  adjust(Kind::Read, limits_.reads);
  adjust(Kind::Write, limits_.writes);
}

base::TimePoint CallBudget::holdOf(Class callClass) const
{
  return inOutage() ? nextProbe_ : resume_[static_cast<std::size_t>(callClass)];
}

bool CallBudget::admit(Kind kind, Class callClass, base::TimePoint now)
{
  adjustRates(now);
  if (now < holdOf(callClass)) {
    return false;
  }
  TokenBucket& tokens = bucket(kind);
  const double reserve =
    kReserve[static_cast<std::size_t>(callClass)] * std::max(0.0, tokens.capacity() - 1);
  if (!tokens.take(reserve, now)) {
    return false;
  }
  if (inOutage()) {
    // One probe at a time, even if its answer never comes.
    nextProbe_ = now + probePause_;
  }
  return true;
}

base::TimePoint CallBudget::nextAdmission(Kind kind, Class callClass, base::TimePoint now) const
{
  const TokenBucket& tokens = bucket(kind);
  const double reserve =
    kReserve[static_cast<std::size_t>(callClass)] * std::max(0.0, tokens.capacity() - 1);
  return std::max(holdOf(callClass), tokens.nextTake(reserve, now));
}

void CallBudget::charge(Kind kind, double calls, base::TimePoint now)
{
  adjustRates(now);
  bucket(kind).takeAnyway(calls, now);
}

void CallBudget::onRateLimited(base::TimePoint now)
{
  const double passed = std::max(0.0, std::chrono::duration<double>(now - cutAt_).count());
  cut_ = std::max(kMinCut, std::min(1.0, cut_ + passed * kRegainPerSecond) / 2);
  cutAt_ = now;
  adjustRates(now);
}

void CallBudget::noteFailure(base::TimePoint now, double unit)
{
  ++failures_;
  if (!inOutage()) {
    return;
  }
  probePause_ = failures_ == limits_.outageFailures
                  ? limits_.minProbePause
                  : std::min(probePause_ * 2, limits_.maxProbePause);
  // Half of the pause is random, so that the probes of the fleet don't coincide.
  nextProbe_ = now + scaled(probePause_, 0.5 + 0.5 * unit);
}

void CallBudget::noteSuccess(base::TimePoint now, double unit)
{
  if (inOutage()) {
    for (std::size_t i = 0; i < kClasses; ++i) {
      const Window& window = kReturn[i];
      const double position = window.begin + (window.end - window.begin) * unit;
      resume_[i] = now + scaled(limits_.spread, position);
    }
  }
  failures_ = 0;
}

} // namespace sycamore::platform
