#pragma once

#include "Work.h"

#include <httplib.h>

namespace sycamore::backend_stub {

// Parses the headers of a work request that arrived at `now`. Throws base::Error if one is
// malformed.
Work readWorkHeaders(const httplib::Request& request, base::TimePoint now);

} // namespace sycamore::backend_stub
