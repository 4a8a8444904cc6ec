#pragma once

#include <base/Time.h>

namespace sycamore::dispatch {

// The time for which a server wants no requests of this entry VM, as it has said when it turned one
// away. Calls other than requests, such as grants of keys, aren't meant by it.
class RequestPause
{
public:
  // The server wants no requests for this time, from now on.
  void onTurnedAway(base::Duration pause, base::TimePoint now);

  bool isActive(base::TimePoint now) const { return now < endsAt_; }
  // Returns the time left, zero if there is none.
  base::Duration timeLeft(base::TimePoint now) const;

private:
  base::TimePoint endsAt_{};
};

} // namespace sycamore::dispatch
