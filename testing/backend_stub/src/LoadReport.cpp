#include "LoadReport.h"

namespace sycamore::backend_stub {

LoadReport::LoadReport(base::Duration lag)
  : lag_(lag)
{
}

void LoadReport::setLag(base::Duration lag)
{
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

void LoadReport::record(base::TimePoint now, nlohmann::json state)
{
  const std::lock_guard lock(mutex_);
  if (!states_.empty() && states_.back().second == state) {
    return;
  }
  states_.emplace_back(now, std::move(state));
  while (states_.size() > 1 && states_[1].first + lag_ < now) {
    states_.pop_front();
  }
}

nlohmann::json LoadReport::visible(base::TimePoint now) const
{
  const std::lock_guard lock(mutex_);
  for (auto state = states_.rbegin(); state != states_.rend(); ++state) {
    if (state->first + lag_ <= now) {
      return state->second;
    }
  }
  return states_.empty() ? nlohmann::json::object() : states_.front().second;
}

} // namespace sycamore::backend_stub
