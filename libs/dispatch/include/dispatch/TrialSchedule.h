#pragma once

#include <base/Time.h>

#include <cstddef>

namespace sycamore::dispatch {

// Decides when an entry VM sends a trial request to a server that it wouldn't choose otherwise.
// Without trials, a server that no VM sends requests to, such as a new one, would never be
// measured. Over all entry VMs the server gets about one request per second until each VM has
// measured it, and one in ten seconds after that.
class TrialSchedule
{
public:
  // `phase` is a random number from 0 to 1 that spreads the trials of the VMs.
  TrialSchedule(double phase, base::TimePoint now)
    : roundsToWait_(phase)
    , intervalStart_(now)
  {
  }

  // A request was sent to the server.
  void onRequestSent(base::TimePoint now)
  {
    intervalStart_ = now;
    roundsToWait_ = kRoundsOnceMeasured;
  }

  // Another entry VM that shares its measurements has sent a request to the server. `phase` is a
  // random number from 0 to 1, so that one of these VMs is the first whose trial is due.
  void onRequestOfOtherVm(double phase, base::TimePoint now)
  {
    intervalStart_ = now;
    roundsToWait_ = kRoundsOnceMeasured * phase;
  }

  bool isDue(std::size_t entryVms, base::TimePoint now) const
  {
    constexpr base::Duration kInterval = std::chrono::seconds(1);
    const auto round = kInterval * static_cast<base::Duration::rep>(entryVms);
    return now >=
           intervalStart_ + std::chrono::duration_cast<base::Duration>(round * roundsToWait_);
  }

private:
  // Rounds until a server that has been measured gets another trial. A round is one second per VM.
  static constexpr double kRoundsOnceMeasured = 10;

  // Number of rounds, or part of a round, without a request after which a trial is due.
  double roundsToWait_;
  base::TimePoint intervalStart_;
};

} // namespace sycamore::dispatch
