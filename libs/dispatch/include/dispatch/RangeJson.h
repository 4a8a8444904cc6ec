#pragma once

#include <dispatch/OwnershipRecord.h>

#include <nlohmann/json.hpp>

namespace sycamore::dispatch {

// Convert ranges to JSON rows and back. A row holds the first key, the last key, the owner, the
// start of the owner's incarnation and the fencing token. The latter throws
// nlohmann::json::exception if the rows aren't ranges.
nlohmann::json writeRanges(const KeyRanges& ranges);
KeyRanges readRanges(const nlohmann::json& rows);

} // namespace sycamore::dispatch
