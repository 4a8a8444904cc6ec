#pragma once

#include <base/Time.h>

#include <optional>
#include <sstream>
#include <string>

namespace sycamore::ownership::model {

// Records the first violation of an invariant in a schedule.
class HistoryChecker
{
public:
  template<typename... Parts>
  void fail(base::Duration now, const Parts&... parts)
  {
    if (!violation_) {
      std::ostringstream text;
      text << "at " << static_cast<double>(now.count()) / 1e6 << " ms: ";
      (text << ... << parts);
      violation_ = text.str();
    }
  }

  const std::optional<std::string>& violation() const { return violation_; }

private:
  std::optional<std::string> violation_;
};

} // namespace sycamore::ownership::model
