#pragma once

#include <base/Ids.h>
#include <placement/ShardMapFormatError.h>

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace sycamore::placement {

// The busiest keys seen by one or several entry VMs.
struct HotKeySummary
{
  struct Entry
  {
    base::Key key;
    // Requests per second, overestimated by at most `error`.
    double rate = 0;
    double error = 0;

    double guaranteedRate() const { return rate - error; }
    friend bool operator==(const Entry&, const Entry&) = default;
  };

  // Requests per second of all keys.
  double totalRate = 0;
  // The highest rate that a key missing from the entries may have.
  double maxUnlistedRate = 0;
  // By certain rate, highest first.
  std::vector<Entry> entries;

  friend bool operator==(const HotKeySummary&, const HotKeySummary&) = default;
};

// Adds the rates of two summaries from different VMs and keeps the busiest maxEntries.
HotKeySummary merge(const HotKeySummary& a, const HotKeySummary& b, std::size_t maxEntries);

// {"total":r,"missing":r,"keys":[["key",rate,error],...]}. Keys that are not valid UTF-8 are left
// out, because they can't be split out either. Rates are rounded to 0.1.
nlohmann::json toJson(const HotKeySummary& summary);
// Throws ShardMapFormatError.
HotKeySummary hotKeySummaryFromJson(const nlohmann::json& value);

} // namespace sycamore::placement
