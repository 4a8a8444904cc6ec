#pragma once

#include <placement/ShardMap.h>
#include <placement/ShardMapFormatError.h>

#include <nlohmann/json_fwd.hpp>

namespace sycamore::placement {

// Encodes a map in the JSON layout of docs/design.md, section 5. A missing successor is null.
nlohmann::json toJson(const ShardMap& map);

// Decodes the result of toJson. Throws ShardMapFormatError with a JSON pointer for unknown, missing
// or wrong fields, rows out of order, indexes out of range and names that are not among the
// servers.
ShardMap shardMapFromJson(const nlohmann::json& value);

} // namespace sycamore::placement
