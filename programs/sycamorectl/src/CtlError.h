#pragma once

#include "ExitStatus.h"

#include <base/Error.h>

#include <string>

namespace sycamore::ctl {

// Error that ends a command with a message and an exit status.
class CtlError : public base::Error
{
public:
  CtlError(ExitStatus status, const std::string& message)
    : base::Error(message)
    , status_(status)
  {
  }

  ExitStatus status() const { return status_; }

private:
  ExitStatus status_;
};

} // namespace sycamore::ctl
