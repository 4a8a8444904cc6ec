#pragma once

#include <base/Error.h>

namespace sycamore::control {

// A message of a peer that can't be understood, or a control call that timed out.
class ControlError : public base::Error
{
public:
  using Error::Error;
};

} // namespace sycamore::control
