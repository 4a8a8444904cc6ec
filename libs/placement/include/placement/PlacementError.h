#pragma once

#include <base/Error.h>

namespace sycamore::placement {

// A misuse of the placement library, or a map that would break its rules.
class PlacementError : public base::Error
{
public:
  using base::Error::Error;
};

} // namespace sycamore::placement
