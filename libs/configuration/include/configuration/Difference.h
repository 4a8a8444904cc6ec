#pragma once

#include <string>
#include <vector>

namespace sycamore::configuration {

// One place where two documents differ. Values are JSON text, empty where the field is absent.
struct Difference
{
  std::string path;
  std::string yours;
  std::string theirs;

  friend bool operator==(const Difference&, const Difference&) = default;
};

// All differences of two JSON documents, by leaf, in the order of their paths. An empty document
// stands for a deleted or absent object.
std::vector<Difference> differences(const std::string& yours, const std::string& theirs);

} // namespace sycamore::configuration
