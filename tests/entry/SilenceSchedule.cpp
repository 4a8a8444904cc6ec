#include "SilenceSchedule.h"

namespace sycamore::soak {

namespace {

constexpr double kStoreShare = 0.6;
constexpr double kMinConnections = 0.5;

} // namespace

SilenceSchedule::SilenceSchedule(std::uint64_t seed,
                                 FaultProxy& proxy,
                                 int storeAddress,
                                 double meanInterval)
  : random_(~seed)
  , proxy_(proxy)
  , storeAddress_(storeAddress)
  , meanInterval_(meanInterval)
{
}

void SilenceSchedule::tick()
{
  const Nanoseconds now = steadyNow();
  if (meanInterval_ <= 0 || now < nextAt_) {
    return;
  }
  const bool isFirst = nextAt_ == 0;
  nextAt_ = now + seconds(uniform(0, 2 * meanInterval_));
  if (isFirst) {
    return;
  }
  const int address = uniform(0, 1) < kStoreShare ? storeAddress_ : -1;
  connections_ += proxy_.silenceConnections(address, uniform(kMinConnections, 1.2));
  silences_.push_back(now);
}

double SilenceSchedule::uniform(double from, double to)
{
  return std::uniform_real_distribution<double>(from, to)(random_);
}

} // namespace sycamore::soak
