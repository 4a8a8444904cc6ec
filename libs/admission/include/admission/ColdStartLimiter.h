#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/Reason.h>

#include <optional>

namespace sycamore::admission {

struct ColdStartSettings
{
  // Concurrency limit of a server that has just started.
  unsigned coldLimit = 1;
  // Time of steady successes that raises the limit from the cold limit to all slots.
  base::Duration rampDuration = std::chrono::seconds(10);
  // Request rate at the start of the ramp, as a share of the rate of the warm server.
  double coldRateShare = 0.1;
  // A server whose recent latency exceeds its baseline by this factor is treated as cold or
  // overloaded.
  double slowFactor = 4;
  // Time over which the limit recovers from an overload. It doubles with each overload that follows
  // soon after another.
  base::Duration initialRecoveryDuration = base::milliseconds(200);
  // Latency that a warm server is assumed to have before the first observation.
  base::Duration assumedLatency = base::milliseconds(1);
};

// State that a backend server reports in its answer to a grant or in its load reports.
enum class ReportedState
{
  Warm,
  Cold,
  Draining
};

// Limits the concurrency and the request rate of one backend server while it is cold or overloaded.
// The server's reports lag behind, so the limiter relies first on what it observes itself: a new
// incarnation, refusals, and latency compared to the server's own baseline. The first report
// decides where the ramp starts; a later report can only lower the limit. Not thread-safe: the
// owner holds a mutex.
class ColdStartLimiter
{
public:
  // Starts at the cold limit.
  ColdStartLimiter(ColdStartSettings settings, unsigned slots, base::TimePoint now);

  void setSlots(unsigned slots);

  // The server reported its state in a grant answer or a load report.
  void onReport(base::Incarnation incarnation, ReportedState state, base::TimePoint now);

  // The server refused a request.
  void onRefusal(requests::Reason reason, base::TimePoint now);

  // The server answered a request that was sent `latency` ago.
  void onSuccess(base::Duration latency, base::TimePoint now);

  // A request was abandoned without an answer, `elapsed` after it was sent.
  void onUnanswered(base::Duration elapsed, base::TimePoint now);

  // A request was sent.
  void onDispatch(base::TimePoint now);

  // Returns the largest number of requests that may be in flight now, from the cold limit to the
  // number of slots.
  unsigned concurrency() const;

  // Returns the time at which the rate allows the next request; `now` or earlier if it may be sent
  // at once.
  base::TimePoint nextDispatchAt(base::TimePoint now) const;

  // Returns whether the cold-start ramp is still in progress.
  bool isCold() const { return rampProgress_ < 1; }

  // Returns whether an overload holds the limit below that of the ramp.
  bool isOverloaded() const { return limitShare_ < 1; }

private:
  void resetToCold(base::TimePoint now);
  void reduceLimit(double share, base::TimePoint now);
  void advanceRamp(base::TimePoint now);
  void recordLatency(base::Duration latency);
  bool isSlow() const;

  ColdStartSettings settings_;
  unsigned slots_;
  std::optional<base::Incarnation> incarnation_;
  ReportedState reportedState_ = ReportedState::Warm;
  // Position on the ramp, from 0 (cold) to 1 (warm).
  double rampProgress_ = 0;
  // Share of the ramp's limit that remains after overloads, from 0 to 1.
  double limitShare_ = 1;
  base::Duration recoveryDuration_;
  double baselineNanos_ = 0;
  double recentNanos_ = 0;
  unsigned sampleCount_ = 0;
  base::TimePoint lastAdvancedAt_;
  base::TimePoint lastReducedAt_;
  base::TimePoint lastDispatchedAt_;
};

} // namespace sycamore::admission
