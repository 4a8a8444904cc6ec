#pragma once

#include <base/Error.h>

namespace sycamore::configuration {

// Violation of a precondition of this library's interface. Faults of documents are not reported as
// exceptions: the validator returns them as a list.
class ConfigError : public base::Error
{
public:
  using base::Error::Error;
};

} // namespace sycamore::configuration
