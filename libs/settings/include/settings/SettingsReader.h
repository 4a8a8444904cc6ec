#pragma once

#include <base/Time.h>
#include <settings/SettingsError.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::settings {

// Reads one object of a settings document field by field and collects every fault with its JSON
// path instead of stopping at the first. A faulty field yields its fallback or lower bound, so that
// reading can continue; call finish() on any reader of the document after the last read and before
// the values are used. Fields that were not requested by any call are reported as unknown.
//
// A field without a fallback is required. Bounds are inclusive. Readers of the same document share
// its list of faults and are cheap to copy. Not thread-safe.
class SettingsReader
{
public:
  // Reads a parsed document. A document that isn't an object is a fault.
  explicit SettingsReader(nlohmann::json document);

  // Parse a document from text or from a file. Syntax errors and unreadable files throw
  // SettingsError at once; a duplicate field of an object is a fault like any other.
  static SettingsReader parse(std::string_view text);
  static SettingsReader readFile(const std::string& path);

  // Returns a string; the limits of its length are in bytes.
  std::string text(std::string_view field,
                   std::size_t minLength,
                   std::size_t maxLength,
                   std::optional<std::string> fallback = std::nullopt);

  // Returns a string that must be one of the choices.
  std::string oneOf(std::string_view field,
                    std::initializer_list<std::string_view> choices,
                    std::optional<std::string> fallback = std::nullopt);

  // Returns an address such as "127.0.0.1:80" or "[::1]:80"; the host must be an IP address.
  // minPort 0 allows port 0, which stands for any free port.
  std::string address(std::string_view field,
                      std::uint16_t minPort = 1,
                      std::optional<std::string> fallback = std::nullopt);

  bool boolean(std::string_view field, std::optional<bool> fallback = std::nullopt);

  double number(std::string_view field,
                double low,
                double high,
                std::optional<double> fallback = std::nullopt);

  template<std::integral T>
  T integer(std::string_view field, T low, T high, std::optional<T> fallback = std::nullopt)
  {
    static_assert(sizeof(T) < 8 || std::signed_integral<T>, "bounds must fit std::int64_t");
    std::optional<std::int64_t> wide;
    if (fallback) {
      wide = static_cast<std::int64_t>(*fallback);
    }
    return static_cast<T>(readInteger(field, low, high, wide));
  }

  // Returns a duration from an integer number of milliseconds; such fields are named "..._ms".
  base::Duration millis(std::string_view field,
                        base::milliseconds low,
                        base::milliseconds high,
                        std::optional<base::milliseconds> fallback = std::nullopt);

  // Returns an array of strings of 1 to 512 bytes each; the limits are numbers of elements.
  std::vector<std::string> texts(std::string_view field,
                                 std::size_t minCount,
                                 std::size_t maxCount);

  // Returns a reader of the object in a field. An absent or faulty object is read as an empty one
  // whose required fields are not reported in addition.
  SettingsReader object(std::string_view field);

  // Returns readers of the objects in an array. An absent array is treated as empty, which is a
  // fault if minCount > 0.
  std::vector<SettingsReader> objects(std::string_view field,
                                      std::size_t minCount,
                                      std::size_t maxCount);

  // Returns whether the field is present. Counts as a request for the field.
  bool has(std::string_view field);

  // Adds a fault that the caller found, such as a value that contradicts another one.
  void fault(std::string_view field, std::string_view message);

  // Returns the JSON path of this object; empty for the document itself.
  const std::string& path() const { return path_; }

  // Throws SettingsError if any reader of this document found a fault, or if a field is unknown.
  void finish();

private:
  struct Document;

  SettingsReader(std::shared_ptr<Document> document, std::string path, const nlohmann::json* node);

  const nlohmann::json* find(std::string_view field, bool required);
  std::int64_t readInteger(std::string_view field,
                           std::int64_t low,
                           std::int64_t high,
                           std::optional<std::int64_t> fallback);
  const nlohmann::json* findArray(std::string_view field,
                                  std::size_t minCount,
                                  std::size_t maxCount);

  std::shared_ptr<Document> document_;
  std::string path_;
  // Null for an absent or faulty object, whose fields are not reported again.
  const nlohmann::json* node_;
};

} // namespace sycamore::settings
