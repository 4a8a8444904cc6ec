#pragma once

#include <placement/PlacementError.h>

#include <string>

namespace sycamore::placement {

// Thrown for a JSON value that is not a valid shard map or hot-key summary. The path is a JSON
// pointer to the offending field, for example "/shards/3/1"; the empty path means the entire value.
class ShardMapFormatError : public PlacementError
{
public:
  ShardMapFormatError(std::string path, const std::string& problem)
    : PlacementError((path.empty() ? "/" : path) + ": " + problem)
    , path_(std::move(path))
  {
  }

  const std::string& path() const { return path_; }

private:
  std::string path_;
};

} // namespace sycamore::placement
