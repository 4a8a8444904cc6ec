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
  base::Duration ramp = std::chrono::seconds(10);
  // Share of the warm rate that a server gets at the start of the ramp.
  double coldRateShare = 0.1;
  // A server whose recent latency is this many times its baseline has turned cold or is overloaded.
  double slowFactor = 4;
};

// State that a backend server reports in its answer to a grant or in its load report.
enum class ReportedState
{
  Warm,
  Cold,
  Draining
};

// Limits concurrency and rate of one backend server while it is cold. Reports lag behind, so it
// believes its own observations first: another incarnation, refusals, and latency against the
// server's own recent baseline. A report can only make it more careful. Not thread-safe: the owner
// holds a mutex.
class ColdStartLimiter
{
public:
  // Starts warm if the server is known to be so, e.g. when a tenancy passes on.
  ColdStartLimiter(ColdStartSettings settings,
                   unsigned slots,
                   bool startsWarm,
                   base::TimePoint now);

  void setSlots(unsigned slots);

  // A grant answer or a load report.
  void noteReport(base::Incarnation incarnation, ReportedState state, base::TimePoint now);

  // The server refused a request.
  void noteRefusal(requests::Reason reason, base::TimePoint now);

  // The server answered a request that was sent `latency` ago.
  void noteSuccess(base::Duration latency, base::TimePoint now);

  // A request was sent: takes it from the rate.
  void noteDispatch(base::TimePoint now);

  // Most requests in flight now, from the cold limit to the slots.
  unsigned concurrency() const;

  // When the rate allows the next request; `now` or earlier if at once.
  base::TimePoint nextDispatch(base::TimePoint now) const;

  bool cold() const { return progress_ < 1; }

  // Mean latency of the server when warm, if known.
  std::optional<base::Duration> baseline() const;

private:
  void fallCold(base::TimePoint now);
  void fallBack(base::TimePoint now);
  void advance(base::TimePoint now);
  void observeLatency(base::Duration latency);
  bool slow() const;
  double rate() const;

  ColdStartSettings settings_;
  unsigned slots_;
  std::optional<base::Incarnation> incarnation_;
  // Position on the ramp, 0 (cold) to 1 (warm).
  double progress_;
  // Set while latency, and nothing else, says that the server is overloaded.
  bool slowed_ = false;
  double baselineNanos_ = 0;
  double recentNanos_ = 0;
  unsigned samples_ = 0;
  base::TimePoint lastAdvance_;
  base::TimePoint lastFallBack_;
  base::TimePoint lastDispatch_;
};

} // namespace sycamore::admission
