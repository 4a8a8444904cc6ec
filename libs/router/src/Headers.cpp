#include <router/Headers.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <string>

namespace sycamore::router {

namespace {

std::string toLower(std::string_view text)
{
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

} // namespace

HopByHopNames::HopByHopNames(const transport::HeaderList& headers)
{
  for (const auto& [name, value] : headers) {
    if (toLower(name) != "connection") {
      continue;
    }
    std::istringstream options(value);
    for (std::string option; std::getline(options, option, ',');) {
      std::erase_if(option, [](char c) { return c == ' ' || c == '\t'; });
      connectionOptions_.insert(toLower(option));
    }
  }
}

bool HopByHopNames::contains(std::string_view name) const
{
  static constexpr std::array<std::string_view, 12> kNames = {
    "connection", "keep-alive",       "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",          "transfer-encoding",  "upgrade",
    "expect",     "proxy-connection", "content-length",     "host"
  };
  const std::string lower = toLower(name);
  return connectionOptions_.contains(lower) ||
         std::find(kNames.begin(), kNames.end(), lower) != kNames.end();
}

bool isReserved(std::string_view name)
{
  static constexpr std::array<std::string_view, 13> kNames = {
    "sycamore-retry-after-ms", "sycamore-key",     "sycamore-request-id", "sycamore-deadline-ms",
    "sycamore-attempt",        "sycamore-outcome", "sycamore-reason",     "sycamore-server",
    "sycamore-service",        "sycamore-method",  "sycamore-shard",      "sycamore-term",
    "sycamore-replayed"
  };
  return std::find(kNames.begin(), kNames.end(), toLower(name)) != kNames.end();
}

} // namespace sycamore::router
