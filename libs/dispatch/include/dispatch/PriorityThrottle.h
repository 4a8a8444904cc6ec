#pragma once

#include <base/Time.h>

#include <algorithm>
#include <array>

namespace sycamore::dispatch {

// Tightens admission of less urgent requests while more urgent ones of the same service are refused
// for lack of room, so that less urgent requests alone can't fill the servers' queues. One instance
// per service.
class PriorityThrottle
{
public:
  // Number of distinct priorities, from 0, the most urgent; greater values count as the last one.
  static constexpr unsigned kPriorityLevels = 8;

  // A request was sent, or was refused for lack of room.
  void onRequestSent(unsigned priority, base::TimePoint now);
  void onRequestRefused(unsigned priority, base::TimePoint now);

  // Returns the factor for the admission bound of a priority, from kMinBoundFactor to 1.
  double boundFactor(unsigned priority, base::TimePoint now);

  static constexpr double kMinBoundFactor = 0.5;

private:
  struct Counts
  {
    double received = 0;
    double refused = 0;
  };

  void decay(base::TimePoint now);
  Counts& countsOf(unsigned priority);

  std::array<Counts, kPriorityLevels> counts_{};
  base::TimePoint decayedAt_{};
};

// Returns the index of a priority among the distinct ones.
constexpr unsigned priorityLevel(unsigned priority)
{
  return std::min(priority, PriorityThrottle::kPriorityLevels - 1);
}

} // namespace sycamore::dispatch
