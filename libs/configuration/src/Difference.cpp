#include "JsonDocument.h"

#include <configuration/Difference.h>

#include <set>

namespace sycamore::configuration {

namespace {

using nlohmann::json;

json parseOrNull(const std::string& text)
{
  json parsed = json::parse(text, nullptr, false);
  return parsed.is_discarded() ? json() : parsed;
}

std::string textOf(const json* value)
{
  return value == nullptr ? std::string() : value->dump();
}

const json* fieldOf(const json* object, const std::string& field)
{
  const auto found = object->find(field);
  return found == object->end() ? nullptr : &*found;
}

bool isObject(const json* value)
{
  return value != nullptr && value->is_object();
}

void compare(const json* yours,
             const json* theirs,
             const std::string& path,
             std::vector<Difference>& differences)
{
  if (!isObject(yours) || !isObject(theirs)) {
    const std::string yoursText = textOf(yours);
    const std::string theirsText = textOf(theirs);
    if (yoursText != theirsText) {
      differences.push_back({ path, yoursText, theirsText });
    }
    return;
  }
  std::set<std::string> fields;
  for (const json* object : { yours, theirs }) {
    for (const auto& [field, value] : object->items()) {
      fields.insert(field);
    }
  }
  for (const std::string& field : fields) {
    compare(fieldOf(yours, field), fieldOf(theirs, field), pathTo(path, field), differences);
  }
}

} // namespace

std::vector<Difference> differences(const std::string& yours, const std::string& theirs)
{
  const json yoursJson = parseOrNull(yours);
  const json theirsJson = parseOrNull(theirs);
  std::vector<Difference> found;
  compare(yours.empty() ? nullptr : &yoursJson, theirs.empty() ? nullptr : &theirsJson, "", found);
  return found;
}

} // namespace sycamore::configuration
