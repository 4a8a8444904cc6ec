#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <platform/TokenBucket.h>

#include <array>
#include <cstddef>
#include <random>

namespace sycamore::platform {

// Decides whether this entry VM may call the platform now. The platform's rates hold for the whole
// fleet, so each VM takes an equal share of them. Within the share, the less urgent classes leave
// a part of the bucket to the more urgent ones. Not thread-safe.
//
// Repeated failures count as an outage: calls are then probes with growing, jittered pauses.
// After the first success, each class resumes at a jittered time, the urgent ones first, so that
// the fleet doesn't return at once.
class CallBudget
{
public:
  enum class Kind
  {
    Read,
    Write
  };

  // In order of urgency.
  enum class Priority
  {
    // Grants and failover.
    Ownership,
    Configuration,
    Status
  };

  struct Limits
  {
    // Of the whole fleet, per second.
    double readsPerSecond = 2000;
    double writesPerSecond = 400;
    // Part of the rates that this system uses; the rest is for the platform's other users.
    double usableFraction = 0.8;
    // What a VM may save up while it makes no calls.
    base::Duration burstDuration = std::chrono::seconds(1);
    // An outage is assumed after so many failures in a row.
    unsigned outageThreshold = 3;
    base::Duration minProbeInterval = std::chrono::milliseconds(100);
    base::Duration maxProbeInterval = std::chrono::seconds(2);
    // Length of the window after an outage over which the fleet returns.
    base::Duration recoveryWindow = std::chrono::seconds(2);
  };

  // Starts with a fleet of one VM.
  CallBudget(const Limits& limits, base::TimePoint now);

  // Number of entry VMs that share the rates, at least 1.
  void setFleetSize(std::size_t vms, base::TimePoint now);

  // Takes one call from the budget if it may be made now.
  bool admit(Kind kind, Priority priority, base::TimePoint now);

  // The earliest time at which admit() can hold if no other call is made until then.
  base::TimePoint nextAdmission(Kind kind, Priority priority, base::TimePoint now) const;

  // Takes calls that were made without asking, such as the read-back of a lost answer.
  void recordUnadmittedCalls(Kind kind, double calls, base::TimePoint now);

  // The platform refused a call because of its rate: others use more than expected, so the share
  // is halved. It recovers by a tenth of the full share per second.
  void onRateLimited(base::TimePoint now);

  template<base::RandomSource R>
  void onFailure(base::TimePoint now, R& random)
  {
    recordFailure(now, randomFraction(random));
  }

  // An answer of any status but a server error.
  template<base::RandomSource R>
  void onSuccess(base::TimePoint now, R& random)
  {
    recordSuccess(now, randomFraction(random));
  }

  // Whether an outage is assumed.
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
  // Part of the share left after refusals, as of shareFactorSetAt_.
  double shareFactor_ = 1;
  base::TimePoint shareFactorSetAt_;
  unsigned consecutiveFailures_ = 0;
  base::Duration probeInterval_{};
  base::TimePoint nextProbeAt_;
  std::array<base::TimePoint, kPriorities> resumeAt_{};
};

} // namespace sycamore::platform
