#include "JsonDocument.h"

#include <configuration/ConfigValidator.h>

#include <set>
#include <vector>

namespace sycamore::configuration {

namespace {

using nlohmann::json;

// Parser callback that reports duplicate fields of an object; the parser itself keeps the last one
// and reports no error.
class DuplicateFieldCheck
{
public:
  explicit DuplicateFieldCheck(ConfigFaults& faults)
    : faults_(faults)
  {
  }

  bool operator()(int, json::parse_event_t event, json& value)
  {
    if (event == json::parse_event_t::object_start) {
      openObjects_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      openObjects_.pop_back();
    } else if (event == json::parse_event_t::key) {
      checkField(value.get<std::string>());
    }
    return true;
  }

private:
  void checkField(const std::string& field)
  {
    if (!openObjects_.back().insert(field).second) {
      faults_.push_back({ "", "field \"" + field + "\" is given twice in one object" });
    }
  }

  ConfigFaults& faults_;
  // Fields seen so far of each open object, the innermost one last.
  std::vector<std::set<std::string>> openObjects_;
};

} // namespace

std::optional<json> parseDocument(const std::string& text, ConfigFaults& faults)
{
  if (text.size() > ConfigValidator::kMaxDocumentBytes) {
    faults.push_back({ "", "is longer than 65536 bytes" });
    return std::nullopt;
  }
  try {
    DuplicateFieldCheck duplicateFields(faults);
    json document = json::parse(text, std::ref(duplicateFields));
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
