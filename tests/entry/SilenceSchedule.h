#pragma once

#include "FaultProxy.h"

#include <random>

namespace sycamore::soak {

// Lets open connections to the store or to servers go silent for good at times drawn by a seed. It
// draws apart from the other faults, so that these are the same with and without it. Used by the
// main thread only.
class SilenceSchedule
{
public:
  // `meanInterval` in seconds; no connection goes silent if it is 0.
  SilenceSchedule(std::uint64_t seed, FaultProxy& proxy, int storeAddress, double meanInterval);

  void tick();

  // Times at which connections went silent.
  const std::vector<Nanoseconds>& silences() const { return silences_; }
  // Number of connections that went silent.
  int connections() const { return connections_; }

private:
  double uniform(double from, double to);

  std::mt19937_64 random_;
  FaultProxy& proxy_;
  int storeAddress_;
  double meanInterval_;
  Nanoseconds nextAt_ = 0;
  std::vector<Nanoseconds> silences_;
  int connections_ = 0;
};

} // namespace sycamore::soak
