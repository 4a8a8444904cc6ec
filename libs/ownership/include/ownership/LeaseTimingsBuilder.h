#pragma once

#include <ownership/LeaseTimings.h>

namespace sycamore::ownership {

// Starts from the default values of the design. build() throws OwnershipError if a duration is not
// positive, if fewer than three renewals fit into a vote or a grant, or if a grant does not
// outlast a vote by more than two renewal intervals. The reason for the last rule: a grant echoes a
// timestamp that is one interval old, and the next grant comes an interval later. Otherwise a
// holder that is unresponsive for the lifetime of a vote would cost the server its grant.
class LeaseTimings::Builder
{
public:
  Builder& renewalInterval(base::Duration value);
  Builder& voteLifetime(base::Duration value);
  Builder& grantLifetime(base::Duration value);
  Builder& holderTimeout(base::Duration value);
  Builder& candidateStagger(base::Duration value);
  Builder& drift(int percent, base::Duration slack);
  LeaseTimings build() const;

private:
  LeaseTimings timings_;
};

} // namespace sycamore::ownership
