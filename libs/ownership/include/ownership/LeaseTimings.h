#pragma once

#include <base/Time.h>

namespace sycamore::ownership {

// The durations of votes and grants. Immutable; made by a Builder, which refuses contradictions.
class LeaseTimings
{
public:
  class Builder;

  // The holder asks for votes and renews the grant this often.
  base::Duration renewalInterval() const { return renewalInterval_; }
  // A vote lasts this long, counted by the holder from when it asked.
  base::Duration voteLifetime() const { return voteLifetime_; }
  // A grant lasts this long, counted by the server from the echoed timestamp.
  base::Duration grantLifetime() const { return grantLifetime_; }
  // A voter proposes itself after it has not heard the holder for this long.
  base::Duration holderTimeout() const { return holderTimeout_; }
  // Each later voter in the order of the map waits this much more.
  base::Duration candidateStagger() const { return candidateStagger_; }

  // How long to wait so that span has passed on every other clock within the drift bound.
  base::Duration driftSafeWait(base::Duration span) const;
  // How much of a span measured on another clock has surely passed on this one.
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
