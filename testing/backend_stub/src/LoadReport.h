#pragma once

#include <base/Time.h>

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamore::backend_stub {

// The state that /sycamore/load and /sycamore/health report: the server's state at the current time
// minus a configurable lag.
// Thread-safe.
class LoadReport
{
public:
  explicit LoadReport(base::Duration lag);

  void setLag(base::Duration lag);

  // Records the state that applies from `now` on. Times must be non-decreasing, except for races
  // between threads.
  void record(base::TimePoint now, nlohmann::json state);

  // Returns the state at `now` minus the lag, or the oldest recorded state if there is
  // none as old.
  nlohmann::json visible(base::TimePoint now) const;

private:
  mutable std::mutex mutex_;
  base::Duration lag_;
  std::deque<std::pair<base::TimePoint, nlohmann::json>> states_;
};

} // namespace sycamore::backend_stub
