#pragma once

#include <base/Time.h>

#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace sycamore::platform_stub {

// The platform's list of VMs. Changes become visible only after a lag, and the list can be made
// stale. Thread-safe.
class VmList
{
public:
  void put(const std::string& id, nlohmann::json vm, base::TimePoint now);
  void remove(const std::string& id, base::TimePoint now);

  void setLag(base::Duration lag);

  // While the list is stale, it returns what was visible when it became stale.
  void setStale(bool stale, base::TimePoint now);

  // Returns {"vms": [...]}.
  nlohmann::json visible(base::TimePoint now) const;

private:
  using Vms = std::map<std::string, nlohmann::json>;

  void recordState(base::TimePoint now);
  nlohmann::json visibleLocked(base::TimePoint now) const;

  mutable std::mutex mutex_;
  Vms current_;
  // All past states; never trimmed, since test runs are short.
  std::deque<std::pair<base::TimePoint, Vms>> history_;
  base::Duration lag_{};
  nlohmann::json stale_;
};

} // namespace sycamore::platform_stub
