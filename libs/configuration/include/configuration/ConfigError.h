#pragma once

#include <base/Error.h>

namespace sycamore::configuration {

// A call that breaks the rules of this library's interface. Faults of documents are not exceptions:
// the validator returns them as a list.
class ConfigError : public base::Error
{
public:
  using base::Error::Error;
};

} // namespace sycamore::configuration
