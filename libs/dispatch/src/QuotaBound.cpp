#include <dispatch/QuotaBound.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Shares of the tolerance beyond rate and burst: what is kept in stock, and what VMs without a
// coordinator use. The rest covers requests that reach a server later than others.
constexpr double kStockShare = 0.75;
constexpr double kWithoutCoordinatorShare = 0.15;

double secondsOf(base::Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

QuotaBound boundOf(const Workspace& workspace, const QuotaSettings& settings)
{
  const double rate = workspace.requestsPerSecond;
  const double inWindow = rate * secondsOf(settings.window) + workspace.burst;
  const double tolerance = settings.overshoot * inWindow + settings.slack;
  const double overlap = kOverlapShare * rate * secondsOf(kOverlapDuration);
  QuotaBound bound;
  bound.perSecond = rate;
  bound.stock = std::max(1.0, workspace.burst + kStockShare * tolerance - overlap);
  bound.withoutCoordinator = kWithoutCoordinatorShare * tolerance;
  bound.window = settings.window;
  return bound;
}

} // namespace sycamore::dispatch
