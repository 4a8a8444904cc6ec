#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <platform/TokenBucket.h>

#include <array>
#include <cstddef>
#include <random>

namespace sycamore::platform {

// Rate limiter of this entry VM's calls to the platform. The platform's rate limits apply to the
// whole fleet, so each VM uses an equal share of them. Within the share, part of the token bucket
// is reserved for calls of higher priority. Not thread-safe.
//
// Repeated failures are treated as an outage, during which only probes are sent, at increasing,
// jittered intervals. After the first success, calls of each priority resume at a jittered time,
// those of the highest priority first, so that the VMs of the fleet don't all resume at once.
class CallBudget
{
public:
  enum class Kind
  {
    Read,
    Write
  };

  // Highest priority first.
  enum class Priority
  {
    // Grants of shards and failover.
    Ownership,
    Configuration,
    Status
  };

  struct Limits
  {
    // Rate limits of the whole fleet.
    double readsPerSecond = 2000;
    double writesPerSecond = 400;
    // Fraction of the rates that this system uses; the rest is left to other users of the platform.
    double usableFraction = 0.8;
    // Capacity of the token buckets, as the time in which they fill up while a VM makes no calls.
    base::Duration burstDuration = std::chrono::seconds(1);
    // Number of consecutive failures after which an outage is assumed.
    unsigned outageThreshold = 3;
    base::Duration minProbeInterval = std::chrono::milliseconds(100);
    base::Duration maxProbeInterval = std::chrono::seconds(2);
    // Duration after an outage over which the calls of the fleet resume.
    base::Duration recoveryWindow = std::chrono::seconds(2);
  };

  // Assumes a fleet of one VM until setFleetSize() is called.
  CallBudget(const Limits& limits, base::TimePoint now);

  // Sets the number of entry VMs that share the rates, at least 1.
  void setFleetSize(std::size_t vms, base::TimePoint now);

  // Returns whether a call may be made now, and if so takes it from the budget.
  bool admit(Kind kind, Priority priority, base::TimePoint now);

  // Returns the earliest time at which admit() can succeed if no other call is made until then.
  base::TimePoint nextAdmission(Kind kind, Priority priority, base::TimePoint now) const;

  // Takes calls from the budget that were made without admit(), such as the read that resolves a
  // lost answer.
  void recordUnadmittedCalls(Kind kind, double calls, base::TimePoint now);

  // To be called when the platform refused a call because of its rate limit. Other users then
  // exceed their expected rate, so the share is halved. It recovers by a tenth of the full share
  // per second.
  void onRateLimited(base::TimePoint now);

  template<base::RandomSource R>
  void onFailure(base::TimePoint now, R& random)
  {
    recordFailure(now, randomFraction(random));
  }

  // To be called for an answer with any status but a server error.
  template<base::RandomSource R>
  void onSuccess(base::TimePoint now, R& random)
  {
    recordSuccess(now, randomFraction(random));
  }

  // Returns whether an outage is assumed.
  bool inOutage() const { return consecutiveFailures_ >= limits_.outageThreshold; }

private:
  static constexpr std::size_t kKinds = 2;
  static constexpr std::size_t kPriorities = 3;

  template<base::RandomSource R>
  static double randomFraction(R& random)
  {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }

  void recordFailure(base::TimePoint now, double fraction);
  void recordSuccess(base::TimePoint now, double fraction);
  double shareOfRates(base::TimePoint now) const;
  void adjustRates(base::TimePoint now);
  TokenBucket& bucket(Kind kind) { return buckets_[static_cast<std::size_t>(kind)]; }
  const TokenBucket& bucket(Kind kind) const { return buckets_[static_cast<std::size_t>(kind)]; }
  base::TimePoint earliestCall(Priority priority) const;

  Limits limits_;
  std::size_t fleetSize_ = 1;
  std::array<TokenBucket, kKinds> buckets_;
  // Fraction of the share that is left after refusals, as of shareFactorSetAt_.
  double shareFactor_ = 1;
  base::TimePoint shareFactorSetAt_;
  unsigned consecutiveFailures_ = 0;
  base::Duration probeInterval_{};
  base::TimePoint nextProbeAt_;
  std::array<base::TimePoint, kPriorities> resumeAt_{};
};

} // namespace sycamore::platform
