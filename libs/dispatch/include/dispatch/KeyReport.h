#pragma once

#include <dispatch/OwnershipRecord.h>

#include <cstdint>
#include <map>

namespace sycamore::dispatch {

// Number of adjacent keys that are counted together.
inline constexpr unsigned kKeysPerBucket = 16;
inline constexpr unsigned kKeyBuckets = (kLastKey + 1U) / kKeysPerBucket;
// Number of adjacent keys in a span, the unit in which an entry VM detects that keys are hot: with
// dozens of entry VMs, each sees too few requests of a single bucket.
inline constexpr unsigned kKeysPerSpan = 256;

// Requests counted by bucket of keys.
using KeyCounts = std::map<std::uint16_t, std::uint32_t>;
// Requests counted by key.
using SingleKeyCounts = std::map<KeyNumber, std::uint32_t>;

// Requests of one service that an entry VM has counted since its previous report.
class KeyReport
{
public:
  KeyReport() = default;
  // Makes a report out of received counts.
  explicit KeyReport(KeyCounts buckets, SingleKeyCounts keys = {});

  // Counts a request. Returns whether the key is in a hot span.
  bool add(KeyNumber key);
  void merge(const KeyReport& other);

  // Returns the counts of all requests.
  const KeyCounts& buckets() const { return buckets_; }
  // Returns whether a large part of the requests is for the keys of one span.
  bool hasHotSpan() const;
  // Returns the counts of single keys in hot spans, for as many keys as a report may name.
  SingleKeyCounts hotKeys() const;

private:
  bool isHot(KeyNumber key) const;

  KeyCounts buckets_;
  // Counts of the first keys; the others count in their buckets only.
  SingleKeyCounts keys_;
  // Requests by span, and all of them.
  std::map<std::uint16_t, std::uint32_t> spans_;
  std::uint32_t total_ = 0;
};

// Reports of all keyed services.
using KeyReports = std::map<base::ServiceId, KeyReport>;

// Returns whether any of the reports has a hot span.
bool hasHotSpan(const KeyReports& reports);

} // namespace sycamore::dispatch
