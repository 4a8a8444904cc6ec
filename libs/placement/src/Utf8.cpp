#include "Utf8.h"

#include <cstdint>

namespace sycamore::placement {

namespace {

struct LeadByte
{
  std::size_t length = 0;
  // Range of the second byte; it excludes overlong forms, surrogates and values above U+10FFFF.
  std::uint8_t low = 0x80;
  std::uint8_t high = 0xBF;
};

LeadByte classifyLeadByte(std::uint8_t byte)
{
  if (byte < 0x80) {
    return { 1 };
  }
  if (byte < 0xC2 || byte > 0xF4) {
    return {};
  }
  if (byte < 0xE0) {
    return { 2 };
  }
  if (byte < 0xF0) {
    return { 3,
             std::uint8_t(byte == 0xE0 ? 0xA0 : 0x80),
             std::uint8_t(byte == 0xED ? 0x9F : 0xBF) };
  }
  return { 4, std::uint8_t(byte == 0xF0 ? 0x90 : 0x80), std::uint8_t(byte == 0xF4 ? 0x8F : 0xBF) };
}

bool inRange(char byte, std::uint8_t low, std::uint8_t high)
{
  const auto value = static_cast<std::uint8_t>(byte);
  return value >= low && value <= high;
}

} // namespace

bool isUtf8(std::string_view text)
{
  for (std::size_t offset = 0; offset < text.size();) {
    const LeadByte lead = classifyLeadByte(static_cast<std::uint8_t>(text[offset]));
    if (lead.length == 0 || offset + lead.length > text.size()) {
      return false;
    }
    for (std::size_t i = 1; i < lead.length; ++i) {
      const bool second = i == 1;
      if (!inRange(text[offset + i], second ? lead.low : 0x80, second ? lead.high : 0xBF)) {
        return false;
      }
    }
    offset += lead.length;
  }
  return true;
}

} // namespace sycamore::placement
