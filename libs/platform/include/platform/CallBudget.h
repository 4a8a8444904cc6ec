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
  enum class Class
  {
    // Grants and failover.
    Ownership,
    Configuration,
    Status
  };

  struct Limits
  {
    // Of the whole fleet, per second.
    double reads = 2000;
    double writes = 400;
    // Part of the rates that this system uses; the rest is for the platform's other users.
    double usable = 0.8;
    // What a VM may save up while it makes no calls.
    base::Duration burst = std::chrono::seconds(1);
    // An outage is assumed after so many failures in a row.
    unsigned outageFailures = 3;
    base::Duration minProbePause = std::chrono::milliseconds(100);
    base::Duration maxProbePause = std::chrono::seconds(2);
    // Length of the window after an outage over which the fleet returns.
    base::Duration spread = std::chrono::seconds(2);
  };

  // Starts with a fleet of one VM.
  CallBudget(const Limits& limits, base::TimePoint now);

  // Number of entry VMs that share the rates, at least 1.
  void setFleetSize(std::size_t vms, base::TimePoint now);

  // Takes one call from the budget if it may be made now.
  bool admit(Kind kind, Class callClass, base::TimePoint now);

  // The earliest time at which admit() can hold if no other call is made until then.
  base::TimePoint nextAdmission(Kind kind, Class callClass, base::TimePoint now) const;

  // Takes calls that were made without asking, such as the read-back of a lost answer.
  void charge(Kind kind, double calls, base::TimePoint now);

  // The platform refused a call because of its rate: others use more than expected, so the share
  // is halved. It recovers by a tenth of the full share per second.
  void onRateLimited(base::TimePoint now);

  template<base::RandomSource R>
  void onFailure(base::TimePoint now, R& random)
  {
    noteFailure(now, unit(random));
  }

  // An answer of any status but a server error.
  template<base::RandomSource R>
  void onSuccess(base::TimePoint now, R& random)
  {
    noteSuccess(now, unit(random));
  }

  // Whether an outage is assumed.
  bool inOutage() const { return failures_ >= limits_.outageFailures; }

private:
  static constexpr std::size_t kKinds = 2;
  static constexpr std::size_t kClasses = 3;

  template<base::RandomSource R>
  static double unit(R& random)
  {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }

  void noteFailure(base::TimePoint now, double unit);
  void noteSuccess(base::TimePoint now, double unit);
  double share(base::TimePoint now) const;
  void adjustRates(base::TimePoint now);
  TokenBucket& bucket(Kind kind) { return buckets_[static_cast<std::size_t>(kind)]; }
  const TokenBucket& bucket(Kind kind) const { return buckets_[static_cast<std::size_t>(kind)]; }
  base::TimePoint holdOf(Class callClass) const;

  Limits limits_;
  std::size_t fleetSize_ = 1;
  std::array<TokenBucket, kKinds> buckets_;
  // Part of the share left after refusals, as of cutAt_.
  double cut_ = 1;
  base::TimePoint cutAt_;
  unsigned failures_ = 0;
  base::Duration probePause_{};
  base::TimePoint nextProbe_;
  std::array<base::TimePoint, kClasses> resume_{};
};

} // namespace sycamore::platform
