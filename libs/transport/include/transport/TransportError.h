#pragma once

#include <base/Error.h>

namespace sycamore::transport {

// Error in the setup of a transport, for example an address that is malformed or can't be bound.
class TransportError : public base::Error
{
public:
  using Error::Error;
};

} // namespace sycamore::transport
