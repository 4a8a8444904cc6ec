#include <dispatch/KeyRates.h>

#include <cmath>

namespace sycamore::dispatch {

namespace {

// Minimum interval between two updates of the decay.
constexpr base::Duration kDecayInterval = base::milliseconds(100);

} // namespace

KeyRates::KeyRates()
  : weights_(kKeyBuckets, 0.0)
{
}

void KeyRates::add(const KeyCounts& counts, base::TimePoint now)
{
  decay(now);
  for (const auto& [bucket, count] : counts) {
    if (bucket < weights_.size()) {
      weights_[bucket] += count / kMeanSeconds;
    }
  }
}

double KeyRates::rate(KeyNumber from, KeyNumber to) const
{
  double sum = 0;
  for (unsigned bucket = from / kKeysPerBucket; bucket <= to / kKeysPerBucket; ++bucket) {
    sum += weights_[bucket];
  }
  return sum;
}

void KeyRates::decay(base::TimePoint now)
{
  if (now < decayedAt_ + kDecayInterval) {
    return;
  }
  const double passed = std::chrono::duration<double>(now - decayedAt_).count();
  const double factor = std::exp(-passed / kMeanSeconds);
  for (double& weight : weights_) {
    weight *= factor;
  }
  decayedAt_ = now;
}

} // namespace sycamore::dispatch
