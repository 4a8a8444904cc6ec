#include <dispatch/PermitIssuer.h>

#include <algorithm>
#include <numeric>

namespace sycamore::dispatch {

namespace {

// Share of the limit that is given out while another VM may be issuing too.
constexpr double kSharedIssuerShare = 0.45;
// Permits of this time, and this many in any case, can be saved up, so that a short pause of the
// traffic wastes none of the limit.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 4;
// Longest time after which a VM is told to ask again. A caller that comes back finds a VM that
// knows more.
constexpr double kMaxRetrySeconds = 1;
// Time after which the bucket of a server for which nobody asks is forgotten.
constexpr base::Duration kUnusedTimeout = std::chrono::minutes(1);

double capacityOf(const RequestLimit& limit)
{
  return std::max(kMinBurst, limit.perSecond * kBurstSeconds);
}

} // namespace

PermitGrant PermitIssuer::request(const PermitQuestion& question,
                                  bool isSoleIssuer,
                                  base::TimePoint now)
{
  const double rate = question.limited.limit.perSecond * (isSoleIssuer ? 1 : kSharedIssuerShare);
  Bucket& bucket = filledBucket(question.limited, rate, now);
  const unsigned level = priorityLevel(question.priority);
  const double reserve =
    bucket.reserve.reserveFor(question.priority, capacityOf(question.limited.limit), rate, now);
  const double available = std::max(0.0, bucket.permits - reserve);
  const auto count = std::min(question.wanted, static_cast<unsigned>(available));
  if (count > 0) {
    bucket.permits -= count;
    bucket.waiting[level] = std::max(0.0, bucket.waiting[level] - count);
    bucket.reserve.onGranted(question.priority, now);
    return { count, {} };
  }
  // Each VM that waits gets a later time, so that they don't all ask for the next permit. Less
  // urgent requests that wait don't count, since they come later.
  const double waiting =
    std::accumulate(bucket.waiting.begin(), bucket.waiting.begin() + level + 1, 0.0);
  const double seconds = (1 + reserve - bucket.permits + waiting) / rate;
  bucket.waiting[level] = std::min(bucket.waiting[level] + 1, rate * kMaxRetrySeconds);
  bucket.reserve.onDenied(question.priority, now);
  return { 0,
           std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double>(std::min(seconds, kMaxRetrySeconds))) };
}

// Returns the server's bucket with the permits that have come in until now.
PermitIssuer::Bucket& PermitIssuer::filledBucket(const LimitedServer& limited,
                                                 double rate,
                                                 base::TimePoint now)
{
  Bucket& bucket = buckets_[limited.server.id];
  if (bucket.filledAt == base::TimePoint{} || bucket.born != limited.server.born) {
    bucket = {};
    bucket.born = limited.server.born;
    bucket.filledAt = now;
    forgetUnused(now);
  }
  const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
  bucket.permits =
    std::min(capacityOf(limited.limit), bucket.permits + std::max(0.0, elapsed) * rate);
  bucket.filledAt = now;
  return bucket;
}

void PermitIssuer::forgetUnused(base::TimePoint now)
{
  std::erase_if(buckets_,
                [now](const auto& entry) { return now >= entry.second.filledAt + kUnusedTimeout; });
}

} // namespace sycamore::dispatch
