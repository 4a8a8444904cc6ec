#pragma once

#include <base/Time.h>

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamore::backend_stub {

// What /sycamore/load and /sycamore/health show: the state of the server some time ago.
// Thread-safe.
class LoadReport
{
public:
  explicit LoadReport(base::Duration lag);

  void setLag(base::Duration lag);

  // Notes the state from now on. Times must not decrease by more than a race between threads.
  void record(base::TimePoint now, nlohmann::json state);

  // The state of a lag ago; the oldest known one if the lag has just grown.
  nlohmann::json visible(base::TimePoint now) const;

private:
  mutable std::mutex mutex_;
  base::Duration lag_;
  std::deque<std::pair<base::TimePoint, nlohmann::json>> states_;
};

} // namespace sycamore::backend_stub
