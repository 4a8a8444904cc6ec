#pragma once

#include <dispatch/PriorityThrottle.h>

#include <base/Time.h>

#include <array>

namespace sycamore::dispatch {

// Decides how many of a limited server's saved-up permits are kept from requests of a priority
// while more urgent requests need permits too, so that the permits go to the more urgent ones
// first. One instance per server.
class PermitReserve
{
public:
  // A permit was asked for, and either given or not.
  void onGranted(unsigned priority, base::TimePoint now);
  void onDenied(unsigned priority, base::TimePoint now);

  // Returns whether the priority has been denied for so long that it gets the next permit.
  bool isPassedOver(unsigned priority, double perSecond, base::TimePoint now) const;

  // Returns the number of permits that have to be left after a request of this priority has been
  // given one. `capacity` is the number of permits that can be saved up, `perSecond` their rate.
  double reserveFor(unsigned priority,
                    double capacity,
                    double perSecond,
                    base::TimePoint now) const;

private:
  struct Level
  {
    // Time of the last question.
    base::TimePoint askedAt{};
    // Time of the first denial since a permit was given; unset if there is none.
    base::TimePoint deniedSince{};

    bool isInNeed(base::TimePoint now) const;
    bool isPassedOver(double perSecond, base::TimePoint now) const;
  };

  std::array<Level, PriorityThrottle::kPriorityLevels> levels_;
};

} // namespace sycamore::dispatch
