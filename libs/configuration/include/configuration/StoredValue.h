#pragma once

#include <string>
#include <vector>

namespace sycamore::configuration {

// A stored value, split into the operator's document and the fields that the system adds to it.
class StoredValue
{
public:
  // Maximum number of writer tokens that a value keeps. A lost answer can be resolved as long as
  // fewer changes of the same object follow before it is read back.
  static constexpr std::size_t kMaxWriters = 8;

  // Parses a stored value. A value that isn't a JSON object is treated as a document without
  // writers.
  static StoredValue parse(const std::string& text);

  // Return the value that a change or delete on top of this one stores.
  StoredValue changedTo(std::string document, const std::string& writer) const;
  StoredValue deletedBy(const std::string& writer) const;

  std::string serialize() const;

  bool isDeleted() const { return deleted_; }
  // JSON; empty for a deleted object.
  const std::string& document() const { return document_; }
  // Writer tokens, newest first.
  const std::vector<std::string>& writers() const { return writers_; }
  bool writtenBy(const std::string& writer) const;

private:
  void addWriter(const std::string& writer);

  std::string document_;
  std::vector<std::string> writers_;
  bool deleted_ = false;
};

} // namespace sycamore::configuration
