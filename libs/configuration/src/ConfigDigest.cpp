#include <base/KeyHash.h>
#include <configuration/ConfigDigest.h>
#include <configuration/ConfigError.h>

#include <charconv>
#include <cstdio>

namespace sycamore::configuration {

void ConfigDigest::toggle(const ObjectName& name, base::Version version)
{
  bits_ ^= base::hashBytes(name.value(), version.value());
}

std::string ConfigDigest::toHex() const
{
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(bits_));
  return digits;
}

ConfigDigest ConfigDigest::parse(const std::string& text)
{
  ConfigDigest digest;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, digest.bits_, 16);
  if (text.size() != 16 || result.ec != std::errc() || result.ptr != end) {
    throw ConfigError("a configuration digest is 16 hexadecimal digits, not \"" + text + "\"");
  }
  return digest;
}

} // namespace sycamore::configuration
