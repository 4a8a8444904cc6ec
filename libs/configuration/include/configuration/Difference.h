#pragma once

#include <string>
#include <vector>

namespace sycamore::configuration {

// A field in which an operator's document (yours) and the stored one (theirs) differ. Values are
// JSON text, empty where the field is absent.
struct Difference
{
  std::string path;
  std::string yours;
  std::string theirs;

  friend bool operator==(const Difference&, const Difference&) = default;
};

// Returns all differences of two JSON documents, field by field, ordered by path. An empty document
// stands for a deleted or absent object.
std::vector<Difference> differences(const std::string& yours, const std::string& theirs);

} // namespace sycamore::configuration
