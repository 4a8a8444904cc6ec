#include <admission/BackoffGate.h>

namespace sycamore::admission {

BackoffGate::BackoffGate(requests::BackoffSettings settings)
  : backoff_(settings)
{
}

bool BackoffGate::open(base::TimePoint now) const
{
  return failures_ == 0 || (!probing_ && now >= closedUntil_);
}

std::optional<base::TimePoint> BackoffGate::nextOpening() const
{
  return probing_ ? std::nullopt : std::optional(closedUntil_);
}

void BackoffGate::onSent()
{
  probing_ = failures_ > 0;
}

void BackoffGate::noteSuccess()
{
  failures_ = 0;
  probing_ = false;
}

void BackoffGate::noteNothing()
{
  probing_ = false;
}

void BackoffGate::noteFailure(std::optional<base::Duration> hint, base::TimePoint now)
{
  if (failures_ > 0 && !probing_) {
    return;
  }
  ++failures_;
  probing_ = false;
  closedUntil_ = now + backoff_.longest(failures_, hint);
}

} // namespace sycamore::admission
