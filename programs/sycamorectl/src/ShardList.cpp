#include "ShardList.h"

#include "CtlError.h"

#include <charconv>
#include <sstream>

namespace sycamore::ctl {

namespace {

constexpr std::size_t kMaxShards = 65536;

[[noreturn]] void throwInvalidList(const std::string& part)
{
  throw CtlError(ExitStatus::Usage,
                 "--shards takes a list such as 1,4,10-19, not \"" + part + "\"");
}

std::uint32_t parseNumber(const std::string& text)
{
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    throwInvalidList(text);
  }
  return number;
}

} // namespace

std::vector<std::uint32_t> parseShards(const std::string& text)
{
  std::vector<std::uint32_t> shards;
  std::istringstream list(text);
  for (std::string part; std::getline(list, part, ',');) {
    const std::size_t dash = part.find('-');
    const std::uint64_t first = parseNumber(part.substr(0, dash));
    const std::uint64_t last =
      dash == std::string::npos ? first : parseNumber(part.substr(dash + 1));
    if (last < first || last - first >= kMaxShards - shards.size()) {
      throwInvalidList(part);
    }
    for (std::uint64_t shard = first; shard <= last; ++shard) {
      shards.push_back(static_cast<std::uint32_t>(shard));
    }
  }
  return shards;
}

} // namespace sycamore::ctl
