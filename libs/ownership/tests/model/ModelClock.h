#pragma once

#include <base/Time.h>

namespace sycamore::ownership::model {

// The clock of one node, with an offset and a rate relative to real time.
class ModelClock
{
public:
  ModelClock() = default;
  ModelClock(base::Duration offset, double rate)
    : offset_(offset)
    , rate_(rate)
  {
  }

  base::TimePoint at(base::Duration real) const
  {
    const auto passed = static_cast<double>(real.count()) * rate_;
    return base::TimePoint(offset_ + base::Duration(static_cast<std::int64_t>(passed)));
  }

  base::Duration realSpan(base::Duration local) const
  {
    return base::Duration(static_cast<std::int64_t>(static_cast<double>(local.count()) / rate_));
  }

private:
  base::Duration offset_{};
  double rate_ = 1;
};

} // namespace sycamore::ownership::model
