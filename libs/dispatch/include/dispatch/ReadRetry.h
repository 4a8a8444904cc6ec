#pragma once

#include <base/Time.h>

#include <algorithm>

namespace sycamore::dispatch {

struct ReadRetrySettings
{
  // Delay before a retry. It doubles up to the maximum, and is shortened by a random fraction so
  // that entry VMs don't call at the same time.
  base::Duration minDelay = base::milliseconds(100);
  base::Duration maxDelay = base::milliseconds(800);
};

// Decides how long to wait after a failed call to the store before it is read again. The first call
// that times out is followed by another one at once: its connection may have gone silent, which a
// new one finds out.
class ReadRetry
{
public:
  explicit ReadRetry(ReadRetrySettings settings)
    : settings_(settings)
  {
  }

  void onAnswered()
  {
    delays_ = 0;
    retriedAtOnce_ = false;
  }

  // Returns the delay after a failure. `timedOut`: the call got no answer in time. `random` is in
  // [0, 1).
  base::Duration delayAfterFailure(bool timedOut, double random)
  {
    if (timedOut && !retriedAtOnce_) {
      retriedAtOnce_ = true;
      return base::Duration::zero();
    }
    constexpr unsigned kMaxDoublings = 5;
    const base::Duration delay =
      std::min(settings_.maxDelay, settings_.minDelay * (1U << std::min(delays_, kMaxDoublings)));
    ++delays_;
    return std::chrono::duration_cast<base::Duration>(delay * (0.5 + random / 2));
  }

private:
  ReadRetrySettings settings_;
  unsigned delays_ = 0;
  bool retriedAtOnce_ = false;
};

} // namespace sycamore::dispatch
