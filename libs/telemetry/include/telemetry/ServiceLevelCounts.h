#pragma once

#include <telemetry/BadAnswerCause.h>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>

namespace sycamore::telemetry {

// Good and bad answers of a span of time, moved shards, and the time in which keys had no owner.
struct ServiceLevelCounts
{
  std::uint64_t good = 0;
  std::array<std::uint64_t, kBadAnswerCauseCount> bad{};
  std::uint64_t movedShards = 0;
  std::uint64_t unavailableMs = 0;

  std::uint64_t badTotal() const;
  std::uint64_t total() const { return good + badTotal(); }
  // Share of bad answers, 0 without any answers.
  double badRatio() const;

  // A later span of the same VM.
  ServiceLevelCounts& operator+=(const ServiceLevelCounts& later);

  // The same span as seen by another VM. Answers add up. Every VM sees all moves and all missing
  // owners, so that the largest figure counts.
  void merge(const ServiceLevelCounts& other);

  // [good, bad by cause..., moves, unavailable ms]
  nlohmann::json toJson() const;
  // Throws TelemetryError for a malformed form.
  static ServiceLevelCounts fromJson(const nlohmann::json& form);

  friend bool operator==(const ServiceLevelCounts&, const ServiceLevelCounts&) = default;
};

} // namespace sycamore::telemetry
