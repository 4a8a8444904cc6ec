#pragma once

#include <base/Time.h>

namespace sycamore::dispatch {

// Bound on the requests of a workspace that all entry VMs together run in a sliding window:
// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaSettings
{
  base::Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;

  bool operator==(const QuotaSettings&) const = default;
};

} // namespace sycamore::dispatch
