#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace sycamore::settings {

// Parser callback that records duplicate fields of an object. The parser itself silently keeps the
// last one, so contradicting values in the file would be accepted.
class DuplicateFieldCheck
{
public:
  bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json& parsed);

  // Returns the JSON paths of the duplicates, with "*" as the index of an array element.
  const std::vector<std::string>& duplicates() const { return duplicates_; }

private:
  struct Level
  {
    std::set<std::string> fields;
    // Field that is being parsed, or "*" in an array.
    std::string currentField;
  };

  std::string pathOf(const std::string& field) const;

  std::vector<Level> levels_;
  std::vector<std::string> duplicates_;
};

} // namespace sycamore::settings
