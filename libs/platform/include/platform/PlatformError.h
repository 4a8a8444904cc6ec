#pragma once

#include <base/Error.h>
#include <base/Time.h>

namespace sycamore::platform {

// Base class of the errors of the platform's API.
class PlatformError : public base::Error
{
public:
  using base::Error::Error;
};

// The platform couldn't be reached, failed or didn't answer before the deadline. The call had no
// effect or was a read.
class Unavailable : public PlatformError
{
public:
  using PlatformError::PlatformError;
};

// The platform refused the call because of its rate limit. The call had no effect.
class RateLimited : public PlatformError
{
public:
  using PlatformError::PlatformError;
};

// The platform refused the call permanently, for example because the value is too large.
class CallRefused : public PlatformError
{
public:
  using PlatformError::PlatformError;
};

// The platform doesn't know the revision that a watch starts from; the objects must be listed
// again.
class RevisionUnknown : public PlatformError
{
public:
  using PlatformError::PlatformError;
};

// The answer doesn't have the format of the API.
class MalformedAnswer : public PlatformError
{
public:
  using PlatformError::PlatformError;
};

} // namespace sycamore::platform
