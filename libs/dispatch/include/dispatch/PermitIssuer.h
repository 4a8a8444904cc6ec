#pragma once

#include <base/Time.h>
#include <dispatch/PermitReserve.h>
#include <dispatch/RequestLimit.h>

#include <array>
#include <map>

namespace sycamore::dispatch {

// An entry VM's question for permits to send requests to a server, because a request of this
// priority waits for one.
struct PermitQuestion
{
  LimitedServer limited;
  unsigned wanted = 1;
  unsigned priority = 0;
};

// The answer to an entry VM that asked for permits: how many it got or, if none, after which time
// to ask again.
struct PermitGrant
{
  unsigned count = 0;
  base::Duration retryIn{};
};

// Gives out the permits for requests to servers that have named a limit, as a token bucket for each
// of them. More urgent requests get the permits first, see PermitReserve. It runs on one entry VM,
// so that the sum over all VMs keeps the limit however their traffic is distributed. Without
// knowledge of what an earlier issuer gave out, a bucket starts empty.
class PermitIssuer
{
public:
  // Grants up to the wanted number of permits. `isSoleIssuer` states that no other VM can be
  // issuing; otherwise less than half of the limit is given out, so that two issuers keep it.
  PermitGrant request(const PermitQuestion& question, bool isSoleIssuer, base::TimePoint now);

private:
  struct Bucket
  {
    std::int64_t born = 0;
    double permits = 0;
    base::TimePoint filledAt{};
    // Questions that were denied and haven't been followed by a permit since, by priority.
    std::array<double, PriorityThrottle::kPriorityLevels> waiting{};
    PermitReserve reserve;
  };

  Bucket& filledBucket(const LimitedServer& limited, double rate, base::TimePoint now);
  void forgetUnused(base::TimePoint now);

  std::map<base::ServerId, Bucket> buckets_;
};

} // namespace sycamore::dispatch
