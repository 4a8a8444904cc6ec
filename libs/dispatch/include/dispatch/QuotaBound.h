#pragma once

#include <dispatch/Configuration.h>
#include <dispatch/QuotaSettings.h>
#include <dispatch/StoreContact.h>

namespace sycamore::dispatch {

// What a workspace's quota allows, split so that the parts together keep the bound in every window.
struct QuotaBound
{
  double perSecond = 0;
  // Maximum number of unused requests at the coordinator and on loan together. In a window at most
  // these and those that accrue in it can run.
  double stock = 1;
  // Requests that VMs without a coordinator may run in a window, all together.
  double withoutCoordinator = 0;
  base::Duration window{};
};

// Share of the rate at which a new coordinator's requests accrue while its predecessor may still be
// lending, and the time for which it may.
inline constexpr double kOverlapShare = 0.4;
inline constexpr base::Duration kOverlapDuration = StoreContactSettings().validity;

QuotaBound boundOf(const Workspace& workspace, const QuotaSettings& settings);

} // namespace sycamore::dispatch
