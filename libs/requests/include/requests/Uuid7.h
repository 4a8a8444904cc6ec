#pragma once

#include <base/Ids.h>
#include <base/Random.h>
#include <requests/WallTime.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace sycamore::requests {

// A UUID of version 7 (RFC 9562): 48 bits of Unix milliseconds, the rest random.
class Uuid7
{
public:
  // Parses the 36-character text form, in upper or lower case. Nothing for other text, versions or
  // variants.
  static std::optional<Uuid7> parse(std::string_view text);

  // Creates an id with the given time.
  template<base::RandomSource Random>
  static Uuid7 make(WallTime time, Random& random)
  {
    return fromParts(time, random(), random());
  }

  WallTime time() const;
  base::RequestId toRequestId() const;
  std::uint64_t high() const { return high_; }
  std::uint64_t low() const { return low_; }

  friend bool operator==(const Uuid7&, const Uuid7&) = default;
  // Ids are ordered by their time.
  friend bool operator<(const Uuid7& a, const Uuid7& b)
  {
    return a.high_ != b.high_ ? a.high_ < b.high_ : a.low_ < b.low_;
  }

private:
  Uuid7(std::uint64_t high, std::uint64_t low)
    : high_(high)
    , low_(low)
  {
  }
  static Uuid7 fromParts(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow);

  std::uint64_t high_;
  std::uint64_t low_;
};

} // namespace sycamore::requests

// All but 2 bits of the low half are random if callers follow the RFC; the high half is mixed in
// for callers that do not.
template<>
struct std::hash<sycamore::requests::Uuid7>
{
  std::size_t operator()(const sycamore::requests::Uuid7& id) const noexcept
  {
    return static_cast<std::size_t>(id.low() ^ (id.high() * 0x9e3779b97f4a7c15ULL));
  }
};
