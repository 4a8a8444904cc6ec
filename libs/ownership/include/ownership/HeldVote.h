#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/TenancyKind.h>

namespace sycamore::ownership {

// A vote that the holder has received.
struct HeldVote
{
  TenancyKind kind = TenancyKind::Active;
  base::Generation floor;
  base::TimePoint until;
};

} // namespace sycamore::ownership
