#include <admission/ServerBackoff.h>

namespace sycamore::admission {

ServerBackoff::ServerBackoff(requests::BackoffSettings settings)
  : backoff_(settings)
{
}

bool ServerBackoff::allowsRequest(base::TimePoint now) const
{
  return failures_ == 0 || (!isProbing_ && now >= retryAt_);
}

std::optional<base::TimePoint> ServerBackoff::nextAllowedAt() const
{
  return isProbing_ ? std::nullopt : std::optional(retryAt_);
}

void ServerBackoff::onSent()
{
  isProbing_ = failures_ > 0;
}

void ServerBackoff::onSuccess()
{
  failures_ = 0;
  isProbing_ = false;
}

void ServerBackoff::onInconclusive()
{
  isProbing_ = false;
}

void ServerBackoff::onFailure(std::optional<base::Duration> hint, base::TimePoint now)
{
  if (failures_ > 0 && !isProbing_) {
    return;
  }
  ++failures_;
  isProbing_ = false;
  retryAt_ = now + backoff_.maxDelay(failures_, hint);
}

} // namespace sycamore::admission
