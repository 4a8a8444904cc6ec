#pragma once

#include <base/Time.h>
#include <dispatch/RangePlacement.h>

namespace sycamore::dispatch {

struct CoordinatorSettings
{
  // Lifetime of a grant, measured by the server from the grant's arrival.
  base::Duration grantDuration = base::milliseconds(2800);
  // Interval between two grants of the same range.
  base::Duration renewalInterval = base::milliseconds(800);
  // Time after which an unanswered call is abandoned. A call that was sent has arrived by then or
  // doesn't arrive: calls are sent only to servers that read the connection.
  base::Duration callTimeout = base::milliseconds(300);
  // Timeout of a release, which is answered only after the work on its keys has ended. The server
  // ends that work with the grant. A second release might be answered before the work has ended, so
  // that the first one isn't given up earlier.
  base::Duration releaseTimeout = base::milliseconds(2900);
  // Factor by which a server's clock may run slower than this VM's.
  double clockDriftFactor = 1.03;
  // A server that has answered no call for this time is considered lost.
  base::Duration lostTimeout = base::milliseconds(900);
  // Time for which a coordinator may grant after the store last confirmed that it is still the
  // coordinator.
  base::Duration confirmationTimeout = base::milliseconds(5000);
  PlacementSettings placement;
};

} // namespace sycamore::dispatch
