#include <requests/Backoff.h>

namespace sycamore::requests {

Backoff::Backoff(BackoffSettings settings)
  : settings_(settings)
{
}

base::Duration Backoff::ceiling(unsigned attemptsMade) const
{
  base::Duration wait = settings_.base;
  for (unsigned i = 1; i < attemptsMade && wait < settings_.cap; ++i) {
    wait *= 2;
  }
  return std::min(wait, settings_.cap);
}

base::Duration Backoff::cappedHint(std::optional<base::Duration> hint) const
{
  return std::min(hint.value_or(base::Duration::zero()), settings_.hintCap);
}

} // namespace sycamore::requests
