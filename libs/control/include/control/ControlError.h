#pragma once

#include <base/Error.h>

namespace sycamore::control {

// A malformed message of a peer, or a call to the control thread that timed out.
class ControlError : public base::Error
{
public:
  using Error::Error;
};

} // namespace sycamore::control
