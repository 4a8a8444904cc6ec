#include <platform/CallBudget.h>

#include <algorithm>

namespace sycamore::platform {

namespace {

using Limits = CallBudget::Limits;

// Part of the bucket that a class leaves to more urgent ones.
constexpr std::array<double, 3> kReservedFraction{ 0, 0.25, 0.5 };

// Window of a class after an outage, in parts of the spread. Status waits until the others have
// caught up.
struct RecoveryWindow
{
  double begin;
  double end;
};
constexpr std::array<RecoveryWindow, 3> kRecoveryWindows{
  { { 0, 0.25 }, { 0.25, 0.6 }, { 0.6, 1 } }
};

// Smallest part of the share that refusals leave, so that the budget never stops all calls.
constexpr double kMinShareFactor = 1.0 / 16;

// Part of the full share that is regained per second after refusals.
constexpr double kShareRecoveryPerSecond = 0.1;

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
  const double rate = fleetRate * limits.usableFraction;
  return { rate, capacityFor(rate, limits.burstDuration), now };
}

} // namespace

CallBudget::CallBudget(const Limits& limits, base::TimePoint now)
  : limits_(limits)
  , buckets_{ fullBucket(limits.readsPerSecond, limits, now),
              fullBucket(limits.writesPerSecond, limits, now) }
  , shareFactorSetAt_(now)
  , nextProbeAt_(now)
{
}

void CallBudget::setFleetSize(std::size_t vms, base::TimePoint now)
{
  fleetSize_ = std::max<std::size_t>(1, vms);
  adjustRates(now);
}

double CallBudget::shareOfRates(base::TimePoint now) const
{
  const double passed =
    std::max(0.0, std::chrono::duration<double>(now - shareFactorSetAt_).count());
  const double factor = std::min(1.0, shareFactor_ + passed * kShareRecoveryPerSecond);
  return limits_.usableFraction * factor / static_cast<double>(fleetSize_);
}

void CallBudget::adjustRates(base::TimePoint now)
{
  const double part = shareOfRates(now);
  const auto adjust = [&](Kind kind, double fleetRate) {
    const double rate = fleetRate * part;
    bucket(kind).setRate(rate, capacityFor(rate, limits_.burstDuration), now);
  };
  adjust(Kind::Read, limits_.readsPerSecond);
  adjust(Kind::Write, limits_.writesPerSecond);
}

base::TimePoint CallBudget::earliestCall(Priority priority) const
{
  return inOutage() ? nextProbeAt_ : resumeAt_[static_cast<std::size_t>(priority)];
}

bool CallBudget::admit(Kind kind, Priority priority, base::TimePoint now)
{
  adjustRates(now);
  if (now < earliestCall(priority)) {
    return false;
  }
  TokenBucket& tokens = bucket(kind);
  const double reserve =
    kReservedFraction[static_cast<std::size_t>(priority)] * std::max(0.0, tokens.capacity() - 1);
  if (!tokens.take(reserve, now)) {
    return false;
  }
  if (inOutage()) {
    // One probe at a time, even if its answer never comes.
    nextProbeAt_ = now + probeInterval_;
  }
  return true;
}

base::TimePoint CallBudget::nextAdmission(Kind kind, Priority priority, base::TimePoint now) const
{
  const TokenBucket& tokens = bucket(kind);
  const double reserve =
    kReservedFraction[static_cast<std::size_t>(priority)] * std::max(0.0, tokens.capacity() - 1);
  return std::max(earliestCall(priority), tokens.nextTakeAt(reserve, now));
}

void CallBudget::recordUnadmittedCalls(Kind kind, double calls, base::TimePoint now)
{
  adjustRates(now);
  bucket(kind).forceTake(calls, now);
}

void CallBudget::onRateLimited(base::TimePoint now)
{
  const double passed =
    std::max(0.0, std::chrono::duration<double>(now - shareFactorSetAt_).count());
  shareFactor_ =
    std::max(kMinShareFactor, std::min(1.0, shareFactor_ + passed * kShareRecoveryPerSecond) / 2);
  shareFactorSetAt_ = now;
  adjustRates(now);
}

void CallBudget::recordFailure(base::TimePoint now, double fraction)
{
  ++consecutiveFailures_;
  if (!inOutage()) {
    return;
  }
  probeInterval_ = consecutiveFailures_ == limits_.outageThreshold
                     ? limits_.minProbeInterval
                     : std::min(probeInterval_ * 2, limits_.maxProbeInterval);
  // Half of the pause is random, so that the probes of the fleet don't coincide.
  nextProbeAt_ = now + scaled(probeInterval_, 0.5 + 0.5 * fraction);
}

void CallBudget::recordSuccess(base::TimePoint now, double fraction)
{
  if (inOutage()) {
    for (std::size_t i = 0; i < kPriorities; ++i) {
      const RecoveryWindow& window = kRecoveryWindows[i];
      const double position = window.begin + (window.end - window.begin) * fraction;
      resumeAt_[i] = now + scaled(limits_.recoveryWindow, position);
    }
  }
  consecutiveFailures_ = 0;
}

} // namespace sycamore::platform
