#include <base/HeaderFields.h>

#include <algorithm>

namespace sycamore::base {

namespace {

// Doesn't depend on the locale, unlike the standard library's function.
char toLower(char c)
{
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equalFieldNames(std::string_view a, std::string_view b)
{
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return toLower(x) == toLower(y);
         });
}

void HeaderFields::append(std::string_view name, std::string_view value)
{
  entries_.push_back({ text_.size(), name.size(), value.size() });
  text_.append(name).append(value);
}

void HeaderFields::set(std::string_view name, std::string_view value)
{
  erase(name);
  append(name, value);
}

void HeaderFields::erase(std::string_view name)
{
  std::erase_if(entries_, [this, name](const Entry& entry) {
    return equalFieldNames(fieldOf(entry).name, name);
  });
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const
{
  for (const HeaderField& field : *this) {
    if (equalFieldNames(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::string_view HeaderFields::valueOf(std::string_view name) const
{
  return find(name).value_or(std::string_view{});
}

HeaderField HeaderFields::fieldOf(const Entry& entry) const
{
  const std::string_view text = text_;
  return { text.substr(entry.nameAt, entry.nameSize),
           text.substr(entry.nameAt + entry.nameSize, entry.valueSize) };
}

} // namespace sycamore::base
