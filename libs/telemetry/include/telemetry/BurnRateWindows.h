#pragma once

#include <base/Time.h>

#include <array>
#include <string_view>

namespace sycamore::telemetry {

// A pair of windows that raises an alert when both burn at the threshold or above: the long one
// shows that it matters, the short one that it still goes on.
struct BurnRateAlert
{
  std::string_view name;
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

// The usual thresholds for a period of 30 days: 14.4 uses 2% of the budget in an hour, 6 uses 5% in
// six hours.
constexpr std::array<BurnRateAlert, 2> kBurnRateAlerts{ { { "fast", 0, 2, 14.4 },
                                                          { "slow", 1, 3, 6.0 } } };

constexpr base::Duration kErrorBudgetPeriod = std::chrono::hours(24 * 30);
// Step of the series over the last six hours.
constexpr base::Duration kHistoryStep = std::chrono::minutes(5);
constexpr std::size_t kHistorySteps = 72;
// Steps of the imbalance, one minute each.
constexpr std::size_t kLoadHistoryMinutes = 60;

} // namespace sycamore::telemetry
