#include <admission/ColdStartLimiter.h>

#include <algorithm>
#include <cmath>

namespace sycamore::admission {

namespace {

// The recent latency averages over about eight answers, so that a single slow answer doesn't cut
// the limit.
constexpr double kRecentWeight = 1.0 / 8;
constexpr unsigned kMinSamples = 8;

// The baseline falls quickly and rises slowly, so that a short period of slow answers doesn't
// become the baseline, while a lasting change does after some hundred answers.
constexpr double kBaselineFallWeight = 1.0 / 16;
constexpr double kBaselineRiseWeight = 1.0 / 512;

// Largest advance of the ramp for one answer, so that an answer after an idle period doesn't
// complete the ramp.
constexpr double kMaxRampStep = 1.0 / 20;

// Minimum time between two reductions: refusals of requests that were in flight together count as
// one overload.
constexpr base::Duration kMinReductionInterval = base::milliseconds(50);

double toNanos(base::Duration duration)
{
  return static_cast<double>(duration.count());
}

} // namespace

ColdStartLimiter::ColdStartLimiter(ColdStartSettings settings, unsigned slots, base::TimePoint now)
  : settings_(settings)
  , slots_(slots)
  , recoveryDuration_(settings.initialRecoveryDuration)
  , lastAdvancedAt_(now)
  , lastReducedAt_(now - settings.rampDuration)
  , lastDispatchedAt_(now - settings.rampDuration)
{
}

void ColdStartLimiter::setSlots(unsigned slots)
{
  slots_ = slots;
}

void ColdStartLimiter::onReport(base::Incarnation incarnation,
                                ReportedState state,
                                base::TimePoint now)
{
  const bool first = !incarnation_;
  const bool restarted = !first && *incarnation_ != incarnation;
  // Only a change to cold counts. A server that is still reported as cold after a completed ramp
  // has a stale report or doesn't get any warmer.
  const bool turnedCold = state == ReportedState::Cold && reportedState_ != ReportedState::Cold;
  incarnation_ = incarnation;
  reportedState_ = state;
  if (restarted || turnedCold) {
    resetToCold(now);
  } else if (first && state == ReportedState::Warm) {
    rampProgress_ = 1;
  }
}

void ColdStartLimiter::onRefusal(requests::Reason reason, base::TimePoint now)
{
  if (reason == requests::Reason::Cold) {
    resetToCold(now);
  } else if (reason == requests::Reason::Overloaded &&
             now - lastReducedAt_ >= kMinReductionInterval) {
    reduceLimit(limitShare_ / 2, now);
  }
}

void ColdStartLimiter::onSuccess(base::Duration latency, base::TimePoint now)
{
  recordLatency(latency);
  if (isSlow()) {
    reduceLimit(0, now);
  } else {
    advanceRamp(now);
  }
}

void ColdStartLimiter::onUnanswered(base::Duration elapsed, base::TimePoint now)
{
  if (baselineNanos_ > 0 && toNanos(elapsed) > settings_.slowFactor * baselineNanos_) {
    reduceLimit(0, now);
  }
}

void ColdStartLimiter::onDispatch(base::TimePoint now)
{
  lastDispatchedAt_ = now;
}

unsigned ColdStartLimiter::concurrency() const
{
  const unsigned minimum = std::max(1U, std::min(settings_.coldLimit, slots_));
  const double range = std::max(0.0, static_cast<double>(slots_) - minimum);
  // Without the small addition, a completed ramp could round down to one slot too few.
  return minimum + static_cast<unsigned>(range * rampProgress_ * limitShare_ + 1e-6);
}

// Paces requests to a cold server at a share of the rate that the warm server sustains.
base::TimePoint ColdStartLimiter::nextDispatchAt(base::TimePoint now) const
{
  if (!isCold()) {
    return now;
  }
  const double latency = baselineNanos_ > 0 ? baselineNanos_ : toNanos(settings_.assumedLatency);
  const double share = std::max(settings_.coldRateShare, rampProgress_);
  const double interval = latency / (static_cast<double>(std::max(1U, slots_)) * share);
  return lastDispatchedAt_ + base::Duration(static_cast<base::Duration::rep>(interval));
}

void ColdStartLimiter::resetToCold(base::TimePoint now)
{
  rampProgress_ = 0;
  limitShare_ = 1;
  lastAdvancedAt_ = now;
  recentNanos_ = 0;
  sampleCount_ = 0;
}

// An overload soon after the previous one means that the limit recovered too fast, but only if it
// rose in between. A server that refuses everything, or that other load on its machine slows for a
// moment, says nothing about the limit.
void ColdStartLimiter::reduceLimit(double share, base::TimePoint now)
{
  const base::Duration since = now - lastReducedAt_;
  if (since >= 4 * recoveryDuration_) {
    recoveryDuration_ = settings_.initialRecoveryDuration;
  } else if (since >= kMinReductionInterval && lastAdvancedAt_ > lastReducedAt_) {
    recoveryDuration_ = std::min(2 * recoveryDuration_, settings_.rampDuration);
  }
  limitShare_ = std::min(limitShare_, share);
  lastReducedAt_ = now;
  lastAdvancedAt_ = now;
}

void ColdStartLimiter::advanceRamp(base::TimePoint now)
{
  const double elapsed = toNanos(now - lastAdvancedAt_);
  const auto step = [elapsed](base::Duration total) {
    return std::min(kMaxRampStep, elapsed / std::max(1.0, toNanos(total)));
  };
  lastAdvancedAt_ = now;
  rampProgress_ = std::min(1.0, rampProgress_ + step(settings_.rampDuration));
  limitShare_ = std::min(1.0, limitShare_ + step(recoveryDuration_));
}

void ColdStartLimiter::recordLatency(base::Duration latency)
{
  const double nanos = toNanos(latency);
  const bool first = sampleCount_ == 0;
  sampleCount_ = std::min(sampleCount_ + 1, kMinSamples);
  recentNanos_ = first ? nanos : recentNanos_ + (nanos - recentNanos_) * kRecentWeight;
  if (baselineNanos_ <= 0) {
    baselineNanos_ = nanos;
    return;
  }
  const double weight = nanos < baselineNanos_ ? kBaselineFallWeight : kBaselineRiseWeight;
  baselineNanos_ += (nanos - baselineNanos_) * weight;
}

bool ColdStartLimiter::isSlow() const
{
  return sampleCount_ >= kMinSamples && recentNanos_ > settings_.slowFactor * baselineNanos_;
}

} // namespace sycamore::admission
