#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::base {

// Returns whether two names of header fields are the same; case doesn't count.
bool equalFieldNames(std::string_view a, std::string_view b);

// A header field, valid until the fields that hold it change.
struct HeaderField
{
  std::string_view name;
  std::string_view value;
};

// Header fields of an HTTP message in the order in which they were added. Bounds neither the size
// of a name or value nor their number; who adds them has to.
class HeaderFields
{
  struct Entry
  {
    std::size_t nameAt = 0;
    std::size_t nameSize = 0;
    std::size_t valueSize = 0;
  };

public:
  class Iterator
  {
  public:
    Iterator(const HeaderFields& fields, std::vector<Entry>::const_iterator at)
      : fields_(&fields)
      , at_(at)
    {
    }

    HeaderField operator*() const { return fields_->fieldOf(*at_); }
    Iterator& operator++()
    {
      ++at_;
      return *this;
    }
    bool operator==(const Iterator& other) const { return at_ == other.at_; }
    bool operator!=(const Iterator& other) const { return at_ != other.at_; }

  private:
    const HeaderFields* fields_;
    std::vector<Entry>::const_iterator at_;
  };

  void append(std::string_view name, std::string_view value);
  // Replaces all fields with this name by one.
  void set(std::string_view name, std::string_view value);
  // Removes all fields with this name.
  void erase(std::string_view name);

  // Returns the value of the first field with this name; nothing if there is none.
  std::optional<std::string_view> find(std::string_view name) const;
  // Returns the value of the first field with this name; an empty text if there is none.
  std::string_view valueOf(std::string_view name) const;
  bool contains(std::string_view name) const { return find(name).has_value(); }

  std::size_t size() const { return entries_.size(); }
  Iterator begin() const { return { *this, entries_.begin() }; }
  Iterator end() const { return { *this, entries_.end() }; }

private:
  HeaderField fieldOf(const Entry& entry) const;

  // Names and values, each name followed by its value. Those of erased fields stay.
  std::string text_;
  std::vector<Entry> entries_;
};

} // namespace sycamore::base
