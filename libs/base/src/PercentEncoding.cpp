#include <base/PercentEncoding.h>

namespace sycamore::base {

bool isUnreserved(char c)
{
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool isDigit = c >= '0' && c <= '9';
  return isLetter || isDigit || c == '-' || c == '.' || c == '_' || c == '~';
}

std::string percentEncode(std::string_view text)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (isUnreserved(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0xfU];
  }
  return encoded;
}

} // namespace sycamore::base
