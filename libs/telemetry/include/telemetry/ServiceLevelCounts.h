#pragma once

#include <telemetry/BadAnswerCause.h>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>

namespace sycamore::telemetry {

// Good and bad answers, moved shards and the time without an owner within a span of time.
struct ServiceLevelCounts
{
  std::uint64_t good = 0;
  std::array<std::uint64_t, kBadAnswerCauseCount> bad{};
  std::uint64_t movedShards = 0;
  std::uint64_t unavailableMs = 0;

  std::uint64_t badTotal() const;
  std::uint64_t total() const { return good + badTotal(); }
  // Returns the share of bad answers, or 0 if there were no answers.
  double badRatio() const;

  // Adds the counts of a later span of the same VM.
  ServiceLevelCounts& operator+=(const ServiceLevelCounts& later);

  // Merges the counts of another VM for the same span. Answers are added up. Every VM observes all
  // shard moves and all shards without an owner, so the larger value is kept for these.
  void merge(const ServiceLevelCounts& other);

  // Returns [good, bad by cause..., movedShards, unavailableMs].
  nlohmann::json toJson() const;
  // Parses the array that toJson() returns. Throws TelemetryError if it is malformed.
  static ServiceLevelCounts fromJson(const nlohmann::json& encoded);

  friend bool operator==(const ServiceLevelCounts&, const ServiceLevelCounts&) = default;
};

} // namespace sycamore::telemetry
