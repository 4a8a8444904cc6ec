#pragma once

#include "ExitStatus.h"

#include <base/Error.h>

#include <string>

namespace sycamore::ctl {

// Ends a command with a message and a status.
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
