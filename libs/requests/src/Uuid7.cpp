#include <requests/Uuid7.h>

#include <array>
#include <string>

namespace sycamore::requests {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::string_view kHexDigits = "0123456789abcdef";

constexpr bool isDash(std::size_t position)
{
  return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<unsigned> hexValue(char c)
{
  if (c >= '0' && c <= '9') {
    return static_cast<unsigned>(c - '0');
  }
  const char lower = static_cast<char>(c | 0x20);
  if (lower >= 'a' && lower <= 'f') {
    return static_cast<unsigned>(lower - 'a') + 10;
  }
  return std::nullopt;
}

} // namespace

std::optional<Uuid7> Uuid7::parse(std::string_view text)
{
  if (text.size() != kTextLength) {
    return std::nullopt;
  }
  std::array<std::uint64_t, 2> halves{};
  unsigned digits = 0;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (isDash(i)) {
      if (text[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const std::optional<unsigned> value = hexValue(text[i]);
    if (!value) {
      return std::nullopt;
    }
    std::uint64_t& half = halves[digits / 16];
    half = half << 4 | *value;
    ++digits;
  }
  const bool version7 = (halves[0] >> 12 & 0xf) == 7;
  const bool rfcVariant = halves[1] >> 62 == 2;
  return version7 && rfcVariant ? std::optional(Uuid7(halves[0], halves[1])) : std::nullopt;
}

WallTime Uuid7::time() const
{
  return WallTime(std::chrono::milliseconds(high_ >> 16));
}

base::RequestId Uuid7::toRequestId() const
{
  std::string text(kTextLength, '-');
  unsigned digits = 0;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (isDash(i)) {
      continue;
    }
    const std::uint64_t half = digits < 16 ? high_ : low_;
    text[i] = kHexDigits[half >> (60 - digits % 16 * 4) & 0xf];
    ++digits;
  }
  return base::RequestId(text);
}

Uuid7 Uuid7::fromParts(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow)
{
  const auto milliseconds = static_cast<std::uint64_t>(time.time_since_epoch().count());
  return { milliseconds << 16 | 0x7000 | (randomHigh & 0xfff), randomLow >> 2 | 1ULL << 63 };
}

} // namespace sycamore::requests
