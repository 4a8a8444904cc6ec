#pragma once

#include <base/Time.h>

namespace sycamore::ownership {

// The durations of votes and grants. Immutable; built by a Builder, which refuses inconsistent
// values.
class LeaseTimings
{
public:
  class Builder;

  // Interval at which the holder renews its votes and the grant.
  base::Duration renewalInterval() const { return renewalInterval_; }
  // Time for which a vote is valid, counted by the holder from the time of its request.
  base::Duration voteLifetime() const { return voteLifetime_; }
  // Time for which a grant is valid, counted by the server from the echoed timestamp.
  base::Duration grantLifetime() const { return grantLifetime_; }
  // Time without any sign of the holder after which a voter proposes itself.
  base::Duration holderTimeout() const { return holderTimeout_; }
  // Additional delay for each further voter in the order of the map, so that candidates do not
  // propose at the same time.
  base::Duration candidateStagger() const { return candidateStagger_; }

  // Returns the time to wait on this clock until span has passed on every other clock within the
  // drift bound.
  base::Duration driftSafeWait(base::Duration span) const;
  // Returns the least time that has passed on this clock while span passed on another one within
  // the drift bound.
  base::Duration minElapsed(base::Duration span) const;

private:
  LeaseTimings() = default;

  base::Duration renewalInterval_ = base::milliseconds(80);
  base::Duration voteLifetime_ = base::milliseconds(300);
  base::Duration grantLifetime_ = base::milliseconds(500);
  base::Duration holderTimeout_ = base::milliseconds(300);
  base::Duration candidateStagger_ = base::milliseconds(100);
  base::Duration driftSlack_ = base::milliseconds(5);
  int driftPercent_ = 1;
};

} // namespace sycamore::ownership

#include <ownership/LeaseTimingsBuilder.h>
