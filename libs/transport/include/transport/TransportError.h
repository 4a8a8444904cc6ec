#pragma once

#include <base/Error.h>

namespace sycamore::transport {

// A transport could not be set up, for example because an address can't be bound.
class TransportError : public base::Error
{
public:
  using Error::Error;
};

} // namespace sycamore::transport
