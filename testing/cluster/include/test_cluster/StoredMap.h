#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace sycamore::test_cluster {

// Returns the first shard or override of a stored shard map whose owner or, if `needsSuccessors`,
// whose successor is not among the running servers, with that server; "" if there is none.
std::string describeUnservedShard(const nlohmann::json& map,
                                  const std::set<std::string>& running,
                                  bool needsSuccessors);

} // namespace sycamore::test_cluster
