#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/LeaseKind.h>

namespace sycamore::ownership {

// A vote that the holder or a candidate has received.
struct ReceivedVote
{
  LeaseKind kind = LeaseKind::Active;
  base::Generation floor;
  base::TimePoint validUntil;
};

} // namespace sycamore::ownership
