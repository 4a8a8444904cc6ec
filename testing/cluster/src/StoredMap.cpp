#include <test_cluster/StoredMap.h>

namespace sycamore::test_cluster {

using nlohmann::json;

namespace {

struct Placement
{
  std::string name;
  json owner;
  json successor;
};

std::string describeUnserved(const Placement& placement,
                             const std::set<std::string>& running,
                             bool needsSuccessor)
{
  const auto isRunning = [&](const json& server) {
    return server.is_string() && running.contains(server.get<std::string>());
  };
  if (!isRunning(placement.owner)) {
    return placement.name + " belongs to " + placement.owner.dump();
  }
  if (needsSuccessor && !isRunning(placement.successor)) {
    return placement.name + " has the successor " + placement.successor.dump();
  }
  return "";
}

} // namespace

std::string describeUnservedShard(const json& map,
                                  const std::set<std::string>& running,
                                  bool needsSuccessors)
{
  for (const json& row : map.at("shards")) {
    const std::string unserved = describeUnserved(
      { "shard " + row.at(0).dump(), row.at(1), row.at(2) }, running, needsSuccessors);
    if (!unserved.empty()) {
      return unserved;
    }
  }
  for (const json& row : map.at("overrides")) {
    const std::string unserved = describeUnserved(
      { "override " + row.at(0).dump(), row.at(2), row.at(3) }, running, needsSuccessors);
    if (!unserved.empty()) {
      return unserved;
    }
  }
  return "";
}

} // namespace sycamore::test_cluster
