#pragma once

#include <base/KeyHash.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamore::backend_stub {

// Content of echoed bodies: a function of the request id and the offset, so that a receiver detects
// bytes of another request, missing bytes and repeated bytes. Offsets are in bytes.
class EchoPattern
{
public:
  explicit EchoPattern(std::string_view requestId)
    : seed_(base::hashBytes(requestId))
  {
  }

  void fill(std::uint64_t offset, char* data, std::size_t size) const
  {
    for (std::size_t i = 0; i < size; ++i) {
      data[i] = at(offset + i);
    }
  }

  // Returns whether the data matches the pattern at the offset.
  bool matches(std::uint64_t offset, std::string_view data) const
  {
    for (std::size_t i = 0; i < data.size(); ++i) {
      if (data[i] != at(offset + i)) {
        return false;
      }
    }
    return true;
  }

private:
  char at(std::uint64_t offset) const
  {
    // SplitMix64 over the index of the 8-byte word.
    std::uint64_t word = seed_ + (offset / 8 + 1) * 0x9e3779b97f4a7c15ULL;
    word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
    word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
    word ^= word >> 31;
    return static_cast<char>(word >> (8 * (offset % 8)));
  }

  std::uint64_t seed_;
};

} // namespace sycamore::backend_stub
