#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace sycamore::settings {

// Parser callback that notes fields that occur twice in one object. The parser itself keeps the
// last one silently, so a contradiction in the file would pass.
class DuplicateFieldCheck
{
public:
  bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json& parsed);

  // JSON paths of the duplicates; an array counts as "*" in them.
  const std::vector<std::string>& found() const { return found_; }

private:
  struct Level
  {
    std::set<std::string> fields;
    std::string current;
  };

  std::string pathOf(const std::string& field) const;

  std::vector<Level> levels_;
  std::vector<std::string> found_;
};

} // namespace sycamore::settings
