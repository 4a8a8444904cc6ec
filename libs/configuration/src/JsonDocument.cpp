#include "JsonDocument.h"

#include <configuration/ConfigValidator.h>

#include <set>
#include <vector>

namespace sycamore::configuration {

namespace {

using nlohmann::json;

// Finds fields that an object has twice. The parser itself would keep the last one silently.
class DuplicateFieldDetector
{
public:
  explicit DuplicateFieldDetector(ConfigFaults& faults)
    : faults_(faults)
  {
  }

  bool operator()(int, json::parse_event_t event, json& value)
  {
    if (event == json::parse_event_t::object_start) {
      objects_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      objects_.pop_back();
    } else if (event == json::parse_event_t::key) {
      note(value.get<std::string>());
    }
    return true;
  }

private:
  void note(const std::string& field)
  {
    if (!objects_.back().insert(field).second) {
      faults_.push_back({ "", "field \"" + field + "\" is given twice in one object" });
    }
  }

  ConfigFaults& faults_;
  std::vector<std::set<std::string>> objects_;
};

} // namespace

std::optional<json> parseDocument(const std::string& text, ConfigFaults& faults)
{
  if (text.size() > ConfigValidator::kMaxDocumentBytes) {
    faults.push_back({ "", "is longer than 65536 bytes" });
    return std::nullopt;
  }
  try {
    DuplicateFieldDetector repeated(faults);
    json document = json::parse(text, std::ref(repeated));
    if (document.is_object()) {
      return document;
    }
    faults.push_back({ "", "must be a JSON object" });
  } catch (const json::exception& error) {
    faults.push_back({ "", std::string("is not valid JSON: ") + error.what() });
  }
  return std::nullopt;
}

std::string pathTo(const std::string& parent, const std::string& field)
{
  std::string path = parent + "/";
  for (const char c : field) {
    if (c == '~') {
      path += "~0";
    } else if (c == '/') {
      path += "~1";
    } else {
      path += c;
    }
  }
  return path;
}

} // namespace sycamore::configuration
