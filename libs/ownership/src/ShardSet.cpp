#include <ownership/ShardSet.h>

#include <base/KeyHash.h>
#include <ownership/OwnershipError.h>

#include <algorithm>
#include <charconv>

namespace sycamore::ownership {

namespace {

std::uint32_t parseNumber(std::string_view text)
{
  std::uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end) {
    throw OwnershipError("not a shard number: '" + std::string(text) + "'");
  }
  return number;
}

ShardSet parseRange(std::string_view text)
{
  const std::size_t dash = text.find('-');
  const std::uint32_t first = parseNumber(text.substr(0, dash));
  const std::uint32_t last =
    dash == std::string_view::npos ? first : parseNumber(text.substr(dash + 1));
  if (first > last) {
    throw OwnershipError("first shard exceeds the last in range '" + std::string(text) + "'");
  }
  return ShardSet::range(base::ShardId(first), base::ShardId(last));
}

} // namespace

ShardSet ShardSet::range(base::ShardId first, base::ShardId last)
{
  ShardSet result;
  result.ranges_.push_back({ first.value(), last.value() });
  return result;
}

ShardSet ShardSet::parse(std::string_view text)
{
  ShardSet result;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    result.insert(parseRange(text.substr(0, comma)));
    if (comma == std::string_view::npos) {
      break;
    }
    text.remove_prefix(comma + 1);
    if (text.empty()) {
      throw OwnershipError("set of shards ends with a comma");
    }
  }
  return result;
}

void ShardSet::insert(base::ShardId shard)
{
  insertRange({ shard.value(), shard.value() });
}

void ShardSet::insert(const ShardSet& other)
{
  for (const Range& range : other.ranges_) {
    insertRange(range);
  }
}

void ShardSet::insertRange(Range added)
{
  // The sums are computed in 64 bits because last + 1 must not wrap around.
  const auto touchesLeft = [&](const Range& range) {
    return std::uint64_t{ range.last } + 1 < added.first;
  };
  auto begin = std::partition_point(ranges_.begin(), ranges_.end(), touchesLeft);
  auto end = begin;
  while (end != ranges_.end() && end->first <= std::uint64_t{ added.last } + 1) {
    added.first = std::min(added.first, end->first);
    added.last = std::max(added.last, end->last);
    ++end;
  }
  begin = ranges_.erase(begin, end);
  ranges_.insert(begin, added);
}

void ShardSet::erase(const ShardSet& other)
{
  for (const Range& range : other.ranges_) {
    eraseRange(range);
  }
}

void ShardSet::eraseRange(Range removed)
{
  std::vector<Range> kept;
  kept.reserve(ranges_.size() + 1);
  for (const Range& range : ranges_) {
    if (range.last < removed.first || range.first > removed.last) {
      kept.push_back(range);
      continue;
    }
    if (range.first < removed.first) {
      kept.push_back({ range.first, removed.first - 1 });
    }
    if (range.last > removed.last) {
      kept.push_back({ removed.last + 1, range.last });
    }
  }
  ranges_ = std::move(kept);
}

void ShardSet::intersect(const ShardSet& other)
{
  ShardSet missing = *this;
  missing.erase(other);
  erase(missing);
}

bool ShardSet::contains(base::ShardId shard) const
{
  const auto range = std::partition_point(
    ranges_.begin(), ranges_.end(), [&](const Range& r) { return r.last < shard.value(); });
  return range != ranges_.end() && range->first <= shard.value();
}

bool ShardSet::containsAll(const ShardSet& other) const
{
  ShardSet missing = other;
  missing.erase(*this);
  return missing.empty();
}

std::size_t ShardSet::size() const
{
  std::size_t count = 0;
  for (const Range& range : ranges_) {
    count += std::size_t{ range.last } - range.first + 1;
  }
  return count;
}

std::uint64_t ShardSet::digest() const
{
  return base::hashBytes(text());
}

std::string ShardSet::text() const
{
  std::string result;
  for (const Range& range : ranges_) {
    if (!result.empty()) {
      result += ',';
    }
    result += std::to_string(range.first);
    if (range.last != range.first) {
      result += '-' + std::to_string(range.last);
    }
  }
  return result;
}

} // namespace sycamore::ownership
