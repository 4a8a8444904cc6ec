#include <admission/ColdStartLimiter.h>

#include <algorithm>
#include <cmath>

namespace sycamore::admission {

namespace {

// Recent latency: a mean over about eight answers, so that one slow answer doesn't halve a server.
constexpr double kRecentWeight = 1.0 / 8;
constexpr unsigned kMinSamples = 8;

// The baseline falls to faster answers soon and rises slowly, so that a slow spell doesn't become
// the norm, while a lasting change does after some hundred answers.
constexpr double kBaselineFall = 1.0 / 16;
constexpr double kBaselineRise = 1.0 / 512;

// One answer after an idle time moves the ramp by at most this share.
constexpr double kMaxStep = 1.0 / 20;

// Refusals of requests that were in flight together count as one overload.
constexpr base::Duration kFallBackInterval = base::milliseconds(50);

double nanosOf(base::Duration duration)
{
  return static_cast<double>(duration.count());
}

} // namespace

ColdStartLimiter::ColdStartLimiter(ColdStartSettings settings, unsigned slots, base::TimePoint now)
  : settings_(settings)
  , slots_(slots)
  , recovery_(settings.recovery)
  , lastAdvance_(now)
  , lastFallBack_(now - settings.rampDuration)
  , lastDispatch_(now - settings.rampDuration)
{
}

void ColdStartLimiter::setSlots(unsigned slots)
{
  slots_ = slots;
}

void ColdStartLimiter::noteReport(base::Incarnation incarnation,
                                  ReportedState state,
                                  base::TimePoint now)
{
  const bool first = !incarnation_;
  const bool restarted = !first && *incarnation_ != incarnation;
  // A server that goes on calling itself cold after a completed ramp is reported late, or is as
  // warm as it gets: only the change counts.
  const bool turnedCold = state == ReportedState::Cold && reported_ != ReportedState::Cold;
  incarnation_ = incarnation;
  reported_ = state;
  if (restarted || turnedCold) {
    fallCold(now);
  } else if (first && state == ReportedState::Warm) {
    progress_ = 1;
  }
}

void ColdStartLimiter::noteRefusal(requests::Reason reason, base::TimePoint now)
{
  if (reason == requests::Reason::Cold) {
    fallCold(now);
  } else if (reason == requests::Reason::Overloaded && now - lastFallBack_ >= kFallBackInterval) {
    fallBack(share_ / 2, now);
  }
}

void ColdStartLimiter::noteSuccess(base::Duration latency, base::TimePoint now)
{
  observeLatency(latency);
  if (slow()) {
    fallBack(0, now);
  } else {
    advance(now);
  }
}

void ColdStartLimiter::noteUnanswered(base::Duration elapsed, base::TimePoint now)
{
  if (baselineNanos_ > 0 && nanosOf(elapsed) > settings_.slowFactor * baselineNanos_) {
    fallBack(0, now);
  }
}

void ColdStartLimiter::noteDispatch(base::TimePoint now)
{
  lastDispatch_ = now;
}

unsigned ColdStartLimiter::concurrency() const
{
  const unsigned least = std::max(1U, std::min(settings_.coldLimit, slots_));
  const double room = std::max(0.0, static_cast<double>(slots_) - least);
  // The small addition keeps a completed ramp from rounding to one slot less.
  return least + static_cast<unsigned>(room * progress_ * share_ + 1e-6);
}

// While cold, requests are paced at a share of what the warm server bears.
base::TimePoint ColdStartLimiter::nextDispatch(base::TimePoint now) const
{
  if (!isCold()) {
    return now;
  }
  const double latency = baselineNanos_ > 0 ? baselineNanos_ : nanosOf(settings_.assumedLatency);
  const double share = std::max(settings_.coldRateShare, progress_);
  const double interval = latency / (static_cast<double>(std::max(1U, slots_)) * share);
  return lastDispatch_ + base::Duration(static_cast<base::Duration::rep>(interval));
}

void ColdStartLimiter::fallCold(base::TimePoint now)
{
  progress_ = 0;
  share_ = 1;
  lastAdvance_ = now;
  recentNanos_ = 0;
  samples_ = 0;
}

// An overload soon after the last one shows that the limit came back too fast, but only if it came
// back in between: a server that refuses everything, or that a neighbour slows for a moment, says
// nothing of the limit.
void ColdStartLimiter::fallBack(double share, base::TimePoint now)
{
  const base::Duration since = now - lastFallBack_;
  if (since >= 4 * recovery_) {
    recovery_ = settings_.recovery;
  } else if (since >= kFallBackInterval && lastAdvance_ > lastFallBack_) {
    recovery_ = std::min(2 * recovery_, settings_.rampDuration);
  }
  share_ = std::min(share_, share);
  lastFallBack_ = now;
  lastAdvance_ = now;
}

void ColdStartLimiter::advance(base::TimePoint now)
{
  const double passed = nanosOf(now - lastAdvance_);
  const auto step = [passed](base::Duration whole) {
    return std::min(kMaxStep, passed / std::max(1.0, nanosOf(whole)));
  };
  lastAdvance_ = now;
  progress_ = std::min(1.0, progress_ + step(settings_.rampDuration));
  share_ = std::min(1.0, share_ + step(recovery_));
}

void ColdStartLimiter::observeLatency(base::Duration latency)
{
  const double nanos = nanosOf(latency);
  const bool first = samples_ == 0;
  samples_ = std::min(samples_ + 1, kMinSamples);
  recentNanos_ = first ? nanos : recentNanos_ + (nanos - recentNanos_) * kRecentWeight;
  if (baselineNanos_ <= 0) {
    baselineNanos_ = nanos;
    return;
  }
  const double weight = nanos < baselineNanos_ ? kBaselineFall : kBaselineRise;
  baselineNanos_ += (nanos - baselineNanos_) * weight;
}

bool ColdStartLimiter::slow() const
{
  return samples_ >= kMinSamples && recentNanos_ > settings_.slowFactor * baselineNanos_;
}

} // namespace sycamore::admission
