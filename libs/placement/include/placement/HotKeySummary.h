#pragma once

#include <base/Ids.h>
#include <placement/ShardMapFormatError.h>

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace sycamore::placement {

// The most requested keys seen by one or more entry VMs.
struct HotKeySummary
{
  struct Entry
  {
    base::Key key;
    // Requests per second, overestimated by at most `error`.
    double rate = 0;
    double error = 0;

    // Lower bound on the key's rate.
    double guaranteedRate() const { return rate - error; }
    friend bool operator==(const Entry&, const Entry&) = default;
  };

  // Requests per second of all keys.
  double totalRate = 0;
  // Upper bound on the rate of a key that is not in the entries.
  double maxUnlistedRate = 0;
  // Sorted by guaranteed rate, highest first.
  std::vector<Entry> entries;

  friend bool operator==(const HotKeySummary&, const HotKeySummary&) = default;
};

// Adds the rates of two summaries from different VMs and keeps the maxEntries keys with the highest
// rates.
HotKeySummary merge(const HotKeySummary& a, const HotKeySummary& b, std::size_t maxEntries);

// Returns {"total":r,"missing":r,"keys":[["key",rate,error],...]}. Omits keys that are not valid
// UTF-8, because they can't have an override either. Rounds rates to 0.1.
nlohmann::json toJson(const HotKeySummary& summary);
// Throws ShardMapFormatError.
HotKeySummary hotKeySummaryFromJson(const nlohmann::json& value);

} // namespace sycamore::placement
