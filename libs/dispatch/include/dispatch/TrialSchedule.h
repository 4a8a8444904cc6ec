#pragma once

#include <base/Time.h>

#include <cstddef>

namespace sycamore::dispatch {

// When an entry VM should send a request to a server that it wouldn't choose. A server that nobody
// sends to, such as one that has joined, is never measured. Over all entry VMs it gets about one
// request a second until each VM has measured it, and one in ten seconds after that.
class TrialSchedule
{
public:
  // `phase` is a random number from 0 to 1 that spreads the turns of the VMs.
  TrialSchedule(double phase, base::TimePoint now)
    : phase_(phase)
    , since_(now)
  {
  }

  // A request was sent to the server.
  void onRequestSent(base::TimePoint now)
  {
    since_ = now;
    phase_ = kLaterRounds;
  }

  bool isDue(std::size_t entryVms, base::TimePoint now) const
  {
    constexpr base::Duration kInterval = std::chrono::seconds(1);
    const auto round = kInterval * static_cast<base::Duration::rep>(entryVms);
    return now >= since_ + std::chrono::duration_cast<base::Duration>(round * phase_);
  }

private:
  // Rounds until a server that has been measured gets a request again.
  static constexpr double kLaterRounds = 10;

  // Part of a round, or number of rounds, that must pass without a request.
  double phase_;
  base::TimePoint since_;
};

} // namespace sycamore::dispatch
