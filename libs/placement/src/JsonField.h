#pragma once

#include <placement/ShardMapFormatError.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sycamore::placement {

// A JSON value with its path, for strict decoding. All methods throw ShardMapFormatError.
class JsonField
{
public:
  JsonField(const nlohmann::json& value, std::string path)
    : value_(value)
    , path_(std::move(path))
  {
  }

  // Requires an object with exactly these fields.
  void requireFields(std::initializer_list<std::string_view> names) const;
  void requireObject() const;
  // Requires an array of this many elements.
  void requireSize(std::size_t size) const;
  void requireArray() const;

  JsonField field(const std::string& name) const;
  JsonField element(std::size_t index) const;

  std::string asString() const;
  std::uint64_t asUnsigned(std::uint64_t max) const;
  double asNonNegative() const;

  const nlohmann::json& value() const { return value_; }
  const std::string& path() const { return path_; }
  [[noreturn]] void fail(const std::string& problem) const;

private:
  std::string pathOf(std::string_view name) const;

  const nlohmann::json& value_;
  std::string path_;
};

} // namespace sycamore::placement
