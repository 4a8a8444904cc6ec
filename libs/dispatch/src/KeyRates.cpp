#include <dispatch/KeyRates.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sycamore::dispatch {

namespace {

// Minimum interval between two updates of the decay.
constexpr base::Duration kDecayInterval = base::milliseconds(100);
// Maximum number of buckets whose keys are counted singly: some 70 kB.
constexpr std::size_t kMaxSingleBuckets = 512;
// Requests below which the counts of a bucket's single keys are forgotten.
constexpr double kMinSingleRequests = 0.5;
// Requests that are assumed for each key of a bucket before any is counted, so that a few requests
// don't make one key look hot.
constexpr double kAssumedRequests = 1;
// Requests below which a rate isn't extrapolated, and the shortest age that is assumed of it.
constexpr double kMinRequestsToExtrapolate = 8;
constexpr double kMinAgeSeconds = 0.1;
// Age below which a rate counts as rising, and the factor that it gets: reports arrive at different
// times, so that the estimate is too low at first, and too few servers would get the keys.
constexpr double kRisingSeconds = 0.5;
constexpr double kRisingMargin = 2;

} // namespace

KeyRates::KeyRates()
  : buckets_(kKeyBuckets)
{
}

void KeyRates::add(const KeyReport& report, base::TimePoint now)
{
  advance(now);
  for (const auto& [bucket, count] : report.buckets()) {
    if (bucket < buckets_.size()) {
      buckets_[bucket].slow += count / kMeanSeconds;
      buckets_[bucket].fast += count / kFastMeanSeconds;
    }
  }
  addSingleKeys(report.hotKeys());
}

void KeyRates::addSingleKeys(const SingleKeyCounts& counts)
{
  for (const auto& [key, count] : counts) {
    const auto bucket = static_cast<std::uint16_t>(key / kKeysPerBucket);
    if (keys_.size() < kMaxSingleBuckets || keys_.contains(bucket)) {
      keys_[bucket].at(key % kKeysPerBucket) += count;
    }
  }
}

template<typename RateOf>
double KeyRates::sum(KeyNumber from, KeyNumber to, RateOf rateOf) const
{
  double sum = 0;
  for (unsigned bucket = from / kKeysPerBucket; bucket <= to / kKeysPerBucket; ++bucket) {
    const unsigned begin = bucket * kKeysPerBucket;
    const unsigned first = std::max<unsigned>(from, begin) - begin;
    const unsigned last = std::min<unsigned>(to, begin + kKeysPerBucket - 1) - begin;
    sum += rateOf(bucket) * shareOfBucket(bucket, first, last);
  }
  return sum;
}

double KeyRates::rate(KeyNumber from, KeyNumber to) const
{
  return sum(from, to, [this](unsigned bucket) { return buckets_[bucket].slow; });
}

double KeyRates::fastRate(KeyNumber from, KeyNumber to) const
{
  return sum(from, to, [this](unsigned bucket) { return buckets_[bucket].fast; });
}

double KeyRates::currentRate(KeyNumber from, KeyNumber to) const
{
  return sum(
    from, to, [this](unsigned bucket) { return buckets_[bucket].fast * extrapolation(bucket); });
}

// Returns the factor by which the fast mean of a rate that has just begun is too low. The ratio of
// the two means of a rate that began `age` ago grows with the age: near 0 it is that of the time
// constants, and `age` follows from its linear term. A steady rate has a ratio of 1, from which an
// age follows at which the fast mean is complete. The ratio is taken from all buckets of the span,
// since one has too few requests at first.
double KeyRates::extrapolation(unsigned bucket) const
{
  constexpr unsigned kBucketsPerSpan = kKeysPerSpan / kKeysPerBucket;
  Bucket span;
  const unsigned begin = bucket / kBucketsPerSpan * kBucketsPerSpan;
  for (unsigned i = begin; i < begin + kBucketsPerSpan; ++i) {
    span.slow += buckets_[i].slow;
    span.fast += buckets_[i].fast;
  }
  if (span.fast * kFastMeanSeconds < kMinRequestsToExtrapolate) {
    return 1;
  }
  const double ratio = span.slow / span.fast;
  const double age =
    2 * (ratio * kMeanSeconds / kFastMeanSeconds - 1) / (1 / kFastMeanSeconds - 1 / kMeanSeconds);
  const double margin = age < kRisingSeconds ? kRisingMargin : 1;
  return margin / (1 - std::exp(-std::max(age, kMinAgeSeconds) / kFastMeanSeconds));
}

double KeyRates::shareOfBucket(unsigned bucket, unsigned first, unsigned last) const
{
  const double keys = last - first + 1;
  const auto found = keys_.find(static_cast<std::uint16_t>(bucket));
  if (keys == kKeysPerBucket || found == keys_.end()) {
    return keys / kKeysPerBucket;
  }
  const auto& counts = found->second;
  const double all = std::accumulate(counts.begin(), counts.end(), 0.0);
  const double part = std::accumulate(counts.begin() + first, counts.begin() + last + 1, 0.0);
  return (part + keys * kAssumedRequests) / (all + kKeysPerBucket * kAssumedRequests);
}

void KeyRates::advance(base::TimePoint now)
{
  if (now < decayedAt_ + kDecayInterval) {
    return;
  }
  const double passed = std::chrono::duration<double>(now - decayedAt_).count();
  const double slow = std::exp(-passed / kMeanSeconds);
  const double fast = std::exp(-passed / kFastMeanSeconds);
  for (Bucket& bucket : buckets_) {
    bucket.slow *= slow;
    bucket.fast *= fast;
  }
  for (auto& [bucket, counts] : keys_) {
    std::ranges::for_each(counts, [slow](double& count) { count *= slow; });
  }
  std::erase_if(keys_, [](const auto& entry) {
    return std::accumulate(entry.second.begin(), entry.second.end(), 0.0) < kMinSingleRequests;
  });
  decayedAt_ = now;
}

} // namespace sycamore::dispatch
