#include <platform/CallBudget.h>

#include <algorithm>

namespace sycamore::platform {

namespace {

using Limits = CallBudget::Limits;

// Fraction of the token bucket that calls of each priority leave to those of higher priority.
constexpr std::array<double, 3> kReservedFraction{ 0, 0.25, 0.5 };

// Time window in which calls of a priority resume after an outage, in fractions of
// Limits::recoveryWindow. Status calls wait until the others have caught up.
struct RecoveryWindow
{
  double begin;
  double end;
};
constexpr std::array<RecoveryWindow, 3> kRecoveryWindows{
  { { 0, 0.25 }, { 0.25, 0.6 }, { 0.6, 1 } }
};

// Minimum fraction of the share after refusals, so that the budget never blocks all calls.
constexpr double kMinShareFactor = 1.0 / 16;

// Fraction of the full share that is regained per second after refusals.
constexpr double kShareRecoveryPerSecond = 0.1;

double capacityFor(double tokensPerSecond, base::Duration burstDuration)
{
  return tokensPerSecond * std::chrono::duration<double>(burstDuration).count();
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
  const double secondsPassed =
    std::max(0.0, std::chrono::duration<double>(now - shareFactorSetAt_).count());
  const double factor = std::min(1.0, shareFactor_ + secondsPassed * kShareRecoveryPerSecond);
  return limits_.usableFraction * factor / static_cast<double>(fleetSize_);
}

void CallBudget::adjustRates(base::TimePoint now)
{
  const double share = shareOfRates(now);
  const auto adjust = [&](Kind kind, double fleetRate) {
    const double rate = fleetRate * share;
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
    // Allows one probe per interval, so that a probe without an answer is followed by another one.
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
  const double secondsPassed =
    std::max(0.0, std::chrono::duration<double>(now - shareFactorSetAt_).count());
  shareFactor_ = std::max(
    kMinShareFactor, std::min(1.0, shareFactor_ + secondsPassed * kShareRecoveryPerSecond) / 2);
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
  // Half of the interval is random, so that the probes of the fleet don't coincide.
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
