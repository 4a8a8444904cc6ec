#pragma once

#include <optional>
#include <string>

namespace sycamore::placement::quality {

// One line of output.
struct Result
{
  std::string name;
  std::string scenario;
  double value = 0;
  std::string unit;
  // From the targets of docs/design.md, section 1.2; empty for figures without a target.
  std::optional<double> bound;
  std::optional<std::string> baseline;
  std::optional<double> baselineValue;
  int runs = 0;

  bool holds() const { return !bound || value <= *bound; }
};

} // namespace sycamore::placement::quality
