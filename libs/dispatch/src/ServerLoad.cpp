#include <dispatch/ServerLoad.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Weight of one observation in the mean time of work.
constexpr double kWorkGain = 0.1;
// Reported load of other entry VMs halves in this time without a new report.
constexpr base::Duration kReportHalfLife = base::milliseconds(120);
// A report of momentary slowness says nothing any more after this time.
constexpr base::Duration kSlownessLife = base::milliseconds(400);
// Failures in a row after which a server is suspect.
constexpr unsigned kSuspectAfter = 2;
// First time to avoid a suspect server. It doubles with each further failure.
constexpr base::Duration kFirstAvoidance = base::milliseconds(250);
constexpr base::Duration kLongestAvoidance = std::chrono::seconds(2);

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

void ServerLoad::onRequestExecuted(base::Duration elapsed, const std::optional<LoadReport>& report)
{
  onRequestEnded();
  // The queue behind an answered request is about as long as the one that it found.
  const double present = report ? report->running + report->waiting : inFlight_;
  const double turns = std::max(1.0, (present + 1) / slots_);
  const base::Duration work = fromSeconds(seconds(elapsed) / turns);
  work_ = fromSeconds(seconds(work_) * (1 - kWorkGain) + seconds(work) * kWorkGain);
  ++sample_.count;
  sample_.total += work;
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
  others_ = std::max(0.0, total - inFlight_);
  slowness_ = report.slowness;
  reportedAt_ = now;
}

void ServerLoad::onServerFull(base::TimePoint now)
{
  others_ = std::max(others_, 3.0 * slots_ - inFlight_);
  reportedAt_ = now;
}

void ServerLoad::onFailure(base::TimePoint now)
{
  ++consecutiveFailures_;
  if (consecutiveFailures_ >= kSuspectAfter) {
    const unsigned doublings = std::min(consecutiveFailures_ - kSuspectAfter, 4U);
    suspectUntil_ = now + std::min(kLongestAvoidance, kFirstAvoidance * (1 << doublings));
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
  return inFlight_ + others_ * std::exp2(-halfLives);
}

base::Duration ServerLoad::expectedLatency(base::TimePoint now) const
{
  const double turns = std::max(1.0, (occupancy(now) + 1) / slots_);
  const double slowness = now - reportedAt_ < kSlownessLife ? std::max(1.0, slowness_) : 1.0;
  // Momentary slowness ends soon: it counts for the running work, not for the whole queue.
  return fromSeconds(seconds(work_) * (turns + (slowness - 1) * 0.5));
}

} // namespace sycamore::dispatch
