#pragma once

#include <base/Error.h>

namespace sycamore::ownership {

// Invalid timings or malformed text of a shard set.
class OwnershipError : public base::Error
{
public:
  using base::Error::Error;
};

} // namespace sycamore::ownership
