#pragma once

#include <base/Time.h>

#include <algorithm>

namespace sycamore::dispatch {

struct StoreContactSettings
{
  // Interval between two reads by which a coordinator finds out whether the store still answers it.
  base::Duration interval = base::milliseconds(300);
  // Time for which an answered read counts, from its sending: the interval, plus time for the
  // answer of a slow store.
  base::Duration validity = base::milliseconds(900);
};

// Tracks whether the store answers the coordinator, so that its watches can be assumed to receive
// changes. Otherwise the other entry VMs must learn it in time to watch for themselves or to take
// over.
class StoreContact
{
public:
  StoreContact(StoreContactSettings settings, base::TimePoint now)
    : settings_(settings)
    , nextReadAt_(now + settings.interval)
    , confirmedAt_(now)
  {
  }

  bool isReadDue(base::TimePoint now) const { return now >= nextReadAt_; }
  void onReadSent(base::TimePoint now) { nextReadAt_ = now + settings_.interval; }

  // A call that was sent at this time was answered.
  void onAnswered(base::TimePoint sentAt)
  {
    confirmedAt_ = std::max(confirmedAt_, sentAt);
    nextReadAt_ = std::max(nextReadAt_, sentAt + settings_.interval);
  }

  bool isRecent(base::TimePoint now) const { return now < recentUntil(); }
  base::TimePoint recentUntil() const { return confirmedAt_ + settings_.validity; }

private:
  StoreContactSettings settings_;
  base::TimePoint nextReadAt_;
  base::TimePoint confirmedAt_;
};

} // namespace sycamore::dispatch
