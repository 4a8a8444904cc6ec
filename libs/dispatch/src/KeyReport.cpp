#include <dispatch/KeyReport.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Maximum number of single keys in a report. They take at most 8 bytes each, so that they fit into
// a datagram beside the rest of a report.
constexpr std::size_t kMaxSingleKeys = 64;
// A span is hot with at least this many requests, and at least one in kMinHotFraction of the
// service's: hot keys that lie across two spans divide their requests between them.
constexpr std::uint32_t kMinHotRequests = 2;
constexpr std::uint32_t kMinHotFraction = 8;

} // namespace

KeyReport::KeyReport(KeyCounts buckets, SingleKeyCounts keys)
  : buckets_(std::move(buckets))
  , keys_(std::move(keys))
{
  for (const auto& [bucket, count] : buckets_) {
    spans_[static_cast<std::uint16_t>(bucket * kKeysPerBucket / kKeysPerSpan)] += count;
    total_ += count;
  }
}

bool KeyReport::add(KeyNumber key)
{
  ++buckets_[static_cast<std::uint16_t>(key / kKeysPerBucket)];
  ++spans_[static_cast<std::uint16_t>(key / kKeysPerSpan)];
  ++total_;
  if (keys_.size() < kMaxSingleKeys || keys_.contains(key)) {
    ++keys_[key];
  }
  return isHot(key);
}

void KeyReport::merge(const KeyReport& other)
{
  for (const auto& [bucket, count] : other.buckets_) {
    buckets_[bucket] += count;
  }
  for (const auto& [key, count] : other.keys_) {
    if (keys_.size() < kMaxSingleKeys || keys_.contains(key)) {
      keys_[key] += count;
    }
  }
  for (const auto& [span, count] : other.spans_) {
    spans_[span] += count;
  }
  total_ += other.total_;
}

bool KeyReport::hasHotSpan() const
{
  return std::ranges::any_of(spans_, [this](const auto& entry) {
    return isHot(static_cast<KeyNumber>(entry.first * kKeysPerSpan));
  });
}

SingleKeyCounts KeyReport::hotKeys() const
{
  SingleKeyCounts result;
  for (const auto& [key, count] : keys_) {
    if (isHot(key)) {
      result.emplace(key, count);
    }
  }
  return result;
}

bool KeyReport::isHot(KeyNumber key) const
{
  const auto found = spans_.find(static_cast<std::uint16_t>(key / kKeysPerSpan));
  return found != spans_.end() && found->second >= kMinHotRequests &&
         found->second * kMinHotFraction >= total_;
}

bool hasHotSpan(const KeyReports& reports)
{
  return std::ranges::any_of(reports, [](const auto& entry) { return entry.second.hasHotSpan(); });
}

} // namespace sycamore::dispatch
