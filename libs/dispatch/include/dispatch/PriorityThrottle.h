#pragma once

#include <base/Time.h>

#include <array>

namespace sycamore::dispatch {

// Keeps room for urgent requests at servers that requests of several priorities share: while urgent
// ones are refused for lack of room, less urgent ones are refused earlier. One for each service.
// Answers loads in which the less urgent requests alone would fill the servers' queues.
class PriorityThrottle
{
public:
  // Priorities from 0, the most urgent, that are told apart; greater ones count as the last.
  static constexpr unsigned kPriorityLevels = 8;

  // A request was sent, or refused for lack of room.
  void onRequestSent(unsigned priority, base::TimePoint now);
  void onRequestRefused(unsigned priority, base::TimePoint now);

  // The part of the admission bound that is left for a priority, from kLeast to 1.
  double boundFactor(unsigned priority, base::TimePoint now);

  static constexpr double kMinBoundFactor = 0.5;

private:
  struct Counts
  {
    double asked = 0;
    double refused = 0;
  };

  void decay(base::TimePoint now);
  Counts& countsOf(unsigned priority);

  std::array<Counts, kPriorityLevels> counts_{};
  base::TimePoint decayedAt_{};
};

} // namespace sycamore::dispatch
