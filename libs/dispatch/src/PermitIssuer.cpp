#include <dispatch/PermitIssuer.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Share of the limit that is given out while another VM may be issuing too.
constexpr double kSharedIssuerShare = 0.45;
// Permits of this time, and this many in any case, can be saved up, so that a short pause of the
// traffic wastes none of the limit.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 3;
// Longest time after which a VM is told to ask again. A caller that comes back finds a VM that
// knows more.
constexpr double kMaxRetrySeconds = 1;
// Time after which the bucket of a server for which nobody asks is forgotten.
constexpr base::Duration kUnusedTimeout = std::chrono::minutes(1);

} // namespace

PermitGrant PermitIssuer::request(const LimitedServer& limited,
                                  unsigned wanted,
                                  bool isSoleIssuer,
                                  base::TimePoint now)
{
  const double rate = limited.limit.perSecond * (isSoleIssuer ? 1 : kSharedIssuerShare);
  Bucket& bucket = buckets_[limited.server.id];
  if (bucket.filledAt == base::TimePoint{} || bucket.born != limited.server.born) {
    bucket = { limited.server.born, 0, now, 0 };
    forgetUnused(now);
  }
  const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
  const double capacity = std::max(kMinBurst, limited.limit.perSecond * kBurstSeconds);
  bucket.permits = std::min(capacity, bucket.permits + std::max(0.0, elapsed) * rate);
  bucket.filledAt = now;
  const auto count = std::min(wanted, static_cast<unsigned>(bucket.permits));
  if (count > 0) {
    bucket.permits -= count;
    bucket.waiting = std::max(0.0, bucket.waiting - count);
    return { count, {} };
  }
  // Each VM that waits gets a later time, so that they don't all ask for the next permit.
  const double seconds = (1 - bucket.permits + bucket.waiting) / rate;
  bucket.waiting = std::min(bucket.waiting + 1, rate * kMaxRetrySeconds);
  return { 0,
           std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double>(std::min(seconds, kMaxRetrySeconds))) };
}

void PermitIssuer::forgetUnused(base::TimePoint now)
{
  std::erase_if(buckets_,
                [now](const auto& entry) { return now >= entry.second.filledAt + kUnusedTimeout; });
}

} // namespace sycamore::dispatch
