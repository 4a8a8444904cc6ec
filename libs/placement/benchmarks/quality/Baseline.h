#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::placement::quality {

// A placement of keys by a hash function alone, for comparison.
class Baseline
{
public:
  virtual ~Baseline() = default;
  virtual std::string name() const = 0;
  // Returns the position among `servers` of the owner of a key with this hash.
  virtual std::uint32_t owner(std::uint64_t hash) const = 0;
  // Returns the share of the hash space that a server owns.
  virtual double hashShare(std::uint32_t server) const = 0;
};

} // namespace sycamore::placement::quality
