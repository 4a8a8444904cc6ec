#pragma once

#include <base/Time.h>

#include <array>
#include <string_view>

namespace sycamore::telemetry {

// Multi-window alert that fires when the burn rates of both windows reach the threshold: the long
// window shows that a significant part of the error budget is used up, the short one that errors
// still occur.
struct BurnRateAlert
{
  std::string_view name;
  // Indexes into kBurnRateWindows.
  std::size_t shortWindow;
  std::size_t longWindow;
  double threshold;
};

struct BurnRateWindow
{
  std::string_view name;
  base::Duration length;
};

constexpr std::array<BurnRateWindow, 4> kBurnRateWindows{ { { "5m", std::chrono::minutes(5) },
                                                            { "30m", std::chrono::minutes(30) },
                                                            { "1h", std::chrono::hours(1) },
                                                            { "6h", std::chrono::hours(6) } } };

// The usual thresholds for an error-budget period of 30 days: a burn rate of 14.4 uses 2% of the
// budget in one hour, 6 uses 5% in six hours.
constexpr std::array<BurnRateAlert, 2> kBurnRateAlerts{ { { "fast", 0, 2, 14.4 },
                                                          { "slow", 1, 3, 6.0 } } };

constexpr base::Duration kErrorBudgetPeriod = std::chrono::hours(24 * 30);
// Resolution of the history of the last six hours.
constexpr base::Duration kHistoryStep = std::chrono::minutes(5);
constexpr std::size_t kHistorySteps = 72;
// Number of one-minute steps in the history of server loads.
constexpr std::size_t kLoadHistoryMinutes = 60;

} // namespace sycamore::telemetry
