#pragma once

#include "Work.h"

#include <httplib.h>

namespace sycamore::backend_stub {

// Reads the headers of a work request that arrived now. Throws base::Error on malformed ones.
Work readWorkHeaders(const httplib::Request& request, base::TimePoint now);

} // namespace sycamore::backend_stub
