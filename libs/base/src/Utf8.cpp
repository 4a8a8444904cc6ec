#include <base/Utf8.h>

#include <cstdint>

namespace sycamore::base {

std::size_t utf8SequenceLength(std::string_view text)
{
  const auto byteAt = [&text](std::size_t i) {
    return i < text.size() ? static_cast<std::uint8_t>(text[i]) : std::uint8_t{ 0 };
  };
  const std::uint8_t lead = byteAt(0);
  if (lead < 0x80) {
    return 1;
  }
  // Bounds of the second byte exclude overlong forms, surrogates and values beyond Unicode.
  std::size_t length = 0;
  std::uint8_t low = 0x80;
  std::uint8_t high = 0xbf;
  if (lead >= 0xc2 && lead <= 0xdf) {
    length = 2;
  } else if (lead >= 0xe0 && lead <= 0xef) {
    length = 3;
    low = lead == 0xe0 ? 0xa0 : low;
    high = lead == 0xed ? 0x9f : high;
  } else if (lead >= 0xf0 && lead <= 0xf4) {
    length = 4;
    low = lead == 0xf0 ? 0x90 : low;
    high = lead == 0xf4 ? 0x8f : high;
  } else {
    return 0;
  }
  if (byteAt(1) < low || byteAt(1) > high) {
    return 0;
  }
  for (std::size_t i = 2; i < length; ++i) {
    if ((byteAt(i) & 0xc0) != 0x80) {
      return 0;
    }
  }
  return length;
}

} // namespace sycamore::base
