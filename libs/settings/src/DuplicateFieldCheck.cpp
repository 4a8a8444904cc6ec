#include "DuplicateFieldCheck.h"

namespace sycamore::settings {

using Event = nlohmann::json::parse_event_t;

bool DuplicateFieldCheck::operator()(int /*depth*/, Event event, nlohmann::json& parsed)
{
  if (event == Event::object_start) {
    levels_.emplace_back();
  } else if (event == Event::array_start) {
    levels_.push_back({ {}, "*" });
  } else if (event == Event::object_end || event == Event::array_end) {
    levels_.pop_back();
  } else if (event == Event::key) {
    const auto& field = parsed.get_ref<const std::string&>();
    if (!levels_.back().fields.insert(field).second) {
      duplicates_.push_back(pathOf(field));
    }
    levels_.back().currentField = field;
  }
  return true;
}

std::string DuplicateFieldCheck::pathOf(const std::string& field) const
{
  std::string path;
  for (std::size_t i = 0; i + 1 < levels_.size(); ++i) {
    path += "/" + levels_[i].currentField;
  }
  return path + "/" + field;
}

} // namespace sycamore::settings
