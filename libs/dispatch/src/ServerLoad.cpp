#include <dispatch/ServerLoad.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Weight of one observation in the mean processing time.
constexpr double kWorkGain = 0.1;
// Half-life of the reported load of other entry VMs without a new report.
constexpr base::Duration kReportHalfLife = base::milliseconds(120);
// Time for which a report of momentary slowness is valid.
constexpr base::Duration kSlownessDuration = base::milliseconds(400);
// Time for which shared load counts without an update: several updates have been lost.
constexpr base::Duration kSharedLoadDuration = base::milliseconds(700);
// Number of consecutive failures from which on a server is suspect.
constexpr unsigned kSuspectFailures = 2;
// Time for which a suspect server is avoided at first. It doubles with each further failure up to
// kMaxAvoidance.
constexpr base::Duration kMinAvoidance = base::milliseconds(250);
constexpr base::Duration kMaxAvoidance = std::chrono::seconds(2);

double seconds(base::Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

base::Duration fromSeconds(double value)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
}

} // namespace

ServerLoad::ServerLoad(unsigned slots, base::Duration assumedWork)
  : slots_(std::max(1U, slots))
  , work_(assumedWork)
{
}

void ServerLoad::onRequestSent()
{
  ++inFlight_;
}

void ServerLoad::onRequestEnded()
{
  inFlight_ -= inFlight_ > 0 ? 1 : 0;
}

base::Duration ServerLoad::onRequestExecuted(base::Duration elapsed,
                                             const std::optional<LoadReport>& report)
{
  onRequestEnded();
  // The queue behind an answered request is assumed to be as long as the one in front of it was.
  const double requestsPresent = report ? report->running + report->waiting : inFlight_;
  const double turns = std::max(1.0, (requestsPresent + 1) / slots_);
  const base::Duration work = fromSeconds(seconds(elapsed) / turns);
  work_ = fromSeconds(seconds(work_) * (1 - kWorkGain) + seconds(work) * kWorkGain);
  isWorkMeasured_ = true;
  ++sample_.count;
  sample_.total += work;
  return work;
}

WorkSample ServerLoad::takeWorkSample()
{
  const WorkSample sample = sample_;
  sample_ = {};
  return sample;
}

void ServerLoad::onLoadReport(const LoadReport& report, base::TimePoint now)
{
  const double total = report.running + report.waiting;
  otherRequests_ = std::max(0.0, total - inFlight_);
  slowness_ = report.slowness;
  reportedAt_ = now;
}

void ServerLoad::onSharedLoad(double othersInFlight,
                              std::optional<base::Duration> work,
                              base::TimePoint now)
{
  sharedOtherRequests_ = othersInFlight;
  sharedLoadExpiresAt_ = now + kSharedLoadDuration;
  if (work) {
    work_ = *work;
    isWorkMeasured_ = true;
  }
}

void ServerLoad::onServerFull(base::TimePoint now)
{
  otherRequests_ = std::max(otherRequests_, 3.0 * slots_ - inFlight_);
  reportedAt_ = now;
}

void ServerLoad::onFailure(base::TimePoint now)
{
  ++consecutiveFailures_;
  if (consecutiveFailures_ >= kSuspectFailures) {
    const unsigned doublings = std::min(consecutiveFailures_ - kSuspectFailures, 4U);
    suspectUntil_ = now + std::min(kMaxAvoidance, kMinAvoidance * (1 << doublings));
  }
}

void ServerLoad::onAnswer(base::TimePoint now)
{
  lastAnswerAt_ = now;
  consecutiveFailures_ = 0;
  suspectUntil_ = {};
}

double ServerLoad::occupancy(base::TimePoint now) const
{
  const double halfLives = seconds(now - reportedAt_) / seconds(kReportHalfLife);
  const double reported = otherRequests_ * std::exp2(-halfLives);
  const double shared = now < sharedLoadExpiresAt_ ? sharedOtherRequests_ : 0;
  return inFlight_ + std::max(reported, shared);
}

base::Duration ServerLoad::expectedLatency(base::TimePoint now) const
{
  const double turns = std::max(1.0, (occupancy(now) + 1) / slots_);
  const double slowness = now - reportedAt_ < kSlownessDuration ? std::max(1.0, slowness_) : 1.0;
  // Momentary slowness ends soon, so it is applied to the running requests but not to the whole
  // queue.
  return fromSeconds(seconds(work_) * (turns + (slowness - 1) * 0.5));
}

} // namespace sycamore::dispatch
