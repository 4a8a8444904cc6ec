#pragma once

#include <base/Time.h>
#include <dispatch/RequestLimit.h>

#include <map>

namespace sycamore::dispatch {

// The answer to an entry VM that asked for permits: how many it got or, if none, after which time
// to ask again.
struct PermitGrant
{
  unsigned count = 0;
  base::Duration retryIn{};
};

// Gives out the permits for requests to servers that have named a limit, as a token bucket for each
// of them. It runs on one entry VM, so that the sum over all VMs keeps the limit however their
// traffic is distributed. Without knowledge of what an earlier issuer gave out, a bucket starts
// empty.
class PermitIssuer
{
public:
  // Grants up to `wanted` permits for a server. `isSoleIssuer` states that no other VM can be
  // issuing; otherwise less than half of the limit is given out, so that two issuers keep it.
  PermitGrant request(const LimitedServer& limited,
                      unsigned wanted,
                      bool isSoleIssuer,
                      base::TimePoint now);

private:
  struct Bucket
  {
    std::int64_t born = 0;
    double permits = 0;
    base::TimePoint filledAt{};
    // VMs that were told to ask again and haven't been granted a permit since.
    double waiting = 0;
  };

  void forgetUnused(base::TimePoint now);

  std::map<base::ServerId, Bucket> buckets_;
};

} // namespace sycamore::dispatch
