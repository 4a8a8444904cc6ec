#pragma once

#include <base/Error.h>

namespace sycamore::placement {

// Thrown when the placement library is misused or a shard map would become invalid.
class PlacementError : public base::Error
{
public:
  using base::Error::Error;
};

} // namespace sycamore::placement
