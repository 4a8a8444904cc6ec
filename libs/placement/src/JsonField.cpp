#include "JsonField.h"

#include <algorithm>

namespace sycamore::placement {

void JsonField::requireObject() const
{
  if (!value_.is_object()) {
    fail("must be an object");
  }
}

void JsonField::requireFields(std::initializer_list<std::string_view> names) const
{
  requireObject();
  for (const auto& [name, value] : value_.items()) {
    if (std::ranges::find(names, std::string_view(name)) == names.end()) {
      JsonField(value, pathOf(name)).fail("unknown field");
    }
  }
  for (const std::string_view name : names) {
    if (!value_.contains(name)) {
      fail("lacks the field \"" + std::string(name) + "\"");
    }
  }
}

void JsonField::requireArray() const
{
  if (!value_.is_array()) {
    fail("must be an array");
  }
}

void JsonField::requireSize(std::size_t size) const
{
  requireArray();
  if (value_.size() != size) {
    fail("must have " + std::to_string(size) + " elements, has " + std::to_string(value_.size()));
  }
}

JsonField JsonField::field(const std::string& name) const
{
  return { value_.at(name), pathOf(name) };
}

JsonField JsonField::element(std::size_t index) const
{
  return { value_.at(index), path_ + "/" + std::to_string(index) };
}

std::string JsonField::asString() const
{
  if (!value_.is_string()) {
    fail("must be a string");
  }
  return value_.get<std::string>();
}

std::uint64_t JsonField::asUnsigned(std::uint64_t max) const
{
  // In-memory JSON values may hold small numbers as signed integers; parsed texts do not.
  const bool negative =
    value_.is_number_integer() && !value_.is_number_unsigned() && value_.get<std::int64_t>() < 0;
  if (!value_.is_number_integer() || negative) {
    fail("must be an integer of 0 or more");
  }
  const auto number = value_.get<std::uint64_t>();
  if (number > max) {
    fail("must be at most " + std::to_string(max));
  }
  return number;
}

double JsonField::asNonNegative() const
{
  if (!value_.is_number() || value_.get<double>() < 0) {
    fail("must be a number of 0 or more");
  }
  return value_.get<double>();
}

// Returns the path of a member, with the escapes of RFC 6901.
std::string JsonField::pathOf(std::string_view name) const
{
  std::string path = path_ + "/";
  for (const char c : name) {
    if (c == '~' || c == '/') {
      path += c == '~' ? "~0" : "~1";
    } else {
      path += c;
    }
  }
  return path;
}

void JsonField::fail(const std::string& problem) const
{
  throw ShardMapFormatError(path_, problem);
}

} // namespace sycamore::placement
