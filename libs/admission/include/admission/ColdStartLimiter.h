#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/Reason.h>

#include <optional>

namespace sycamore::admission {

struct ColdStartSettings
{
  // Requests in flight on a server that has just started.
  unsigned coldLimit = 1;
  // Time of steady successes from the cold limit to all slots.
  base::Duration rampDuration = std::chrono::seconds(10);
  // Share of the warm rate that a server gets at the start of the ramp.
  double coldRateShare = 0.1;
  // A server whose recent latency is this many times its baseline has turned cold or is overloaded.
  double slowFactor = 4;
  // First time to recover from an overload; it doubles with each one that follows soon.
  base::Duration recovery = base::milliseconds(200);
  // Latency of a warm server before the first observation.
  base::Duration assumedLatency = base::milliseconds(1);
};

// State that a backend server reports in its answer to a grant or in its load report.
enum class ReportedState
{
  Warm,
  Cold,
  Draining
};

// Limits concurrency and rate of one backend server while it is cold or overloaded. Reports lag
// behind, so it believes its own observations first: another incarnation, refusals, and latency
// against the server's own recent baseline. After the first report, which decides how the ramp
// begins, a report can only make it more careful. Not thread-safe: the owner holds a mutex.
class ColdStartLimiter
{
public:
  // Starts cold.
  ColdStartLimiter(ColdStartSettings settings, unsigned slots, base::TimePoint now);

  void setSlots(unsigned slots);

  // A grant answer or a load report.
  void noteReport(base::Incarnation incarnation, ReportedState state, base::TimePoint now);

  // The server refused a request.
  void noteRefusal(requests::Reason reason, base::TimePoint now);

  // The server answered a request that was sent `latency` ago.
  void noteSuccess(base::Duration latency, base::TimePoint now);

  // A request was given up `elapsed` after it was sent, without an answer.
  void noteUnanswered(base::Duration elapsed, base::TimePoint now);

  // A request was sent.
  void noteDispatch(base::TimePoint now);

  // Most requests in flight now, from the cold limit to the slots.
  unsigned concurrency() const;

  // When the rate allows the next request; `now` or earlier if at once.
  base::TimePoint nextDispatch(base::TimePoint now) const;

  // Whether the cold-start ramp is not over.
  bool isCold() const { return progress_ < 1; }

  // Whether it is below its place on the ramp because of an overload.
  bool overloaded() const { return share_ < 1; }

private:
  void fallCold(base::TimePoint now);
  void fallBack(double share, base::TimePoint now);
  void advance(base::TimePoint now);
  void observeLatency(base::Duration latency);
  bool slow() const;

  ColdStartSettings settings_;
  unsigned slots_;
  std::optional<base::Incarnation> incarnation_;
  ReportedState reported_ = ReportedState::Warm;
  // Position on the ramp, 0 (cold) to 1 (warm).
  double progress_ = 0;
  // Part of the ramp's limit that is left after overloads, 0 to 1.
  double share_ = 1;
  base::Duration recovery_;
  double baselineNanos_ = 0;
  double recentNanos_ = 0;
  unsigned samples_ = 0;
  base::TimePoint lastAdvance_;
  base::TimePoint lastFallBack_;
  base::TimePoint lastDispatch_;
};

} // namespace sycamore::admission
