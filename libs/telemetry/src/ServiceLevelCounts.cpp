#include <telemetry/ServiceLevelCounts.h>

#include <telemetry/TelemetryError.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace sycamore::telemetry {

std::uint64_t ServiceLevelCounts::badTotal() const
{
  return std::accumulate(bad.begin(), bad.end(), std::uint64_t(0));
}

double ServiceLevelCounts::badRatio() const
{
  return total() == 0 ? 0 : static_cast<double>(badTotal()) / static_cast<double>(total());
}

ServiceLevelCounts& ServiceLevelCounts::operator+=(const ServiceLevelCounts& later)
{
  good += later.good;
  std::transform(bad.begin(), bad.end(), later.bad.begin(), bad.begin(), std::plus<>());
  movedShards += later.movedShards;
  unavailableMs += later.unavailableMs;
  return *this;
}

void ServiceLevelCounts::merge(const ServiceLevelCounts& other)
{
  const auto maxMovedShards = std::max(movedShards, other.movedShards);
  const auto maxUnavailableMs = std::max(unavailableMs, other.unavailableMs);
  *this += other;
  movedShards = maxMovedShards;
  unavailableMs = maxUnavailableMs;
}

nlohmann::json ServiceLevelCounts::toJson() const
{
  nlohmann::json array = nlohmann::json::array({ good });
  for (const std::uint64_t count : bad) {
    array.push_back(count);
  }
  array.push_back(movedShards);
  array.push_back(unavailableMs);
  return array;
}

ServiceLevelCounts ServiceLevelCounts::fromJson(const nlohmann::json& array)
{
  const bool valid =
    array.is_array() && array.size() == kBadAnswerCauseCount + 3 &&
    std::all_of(array.begin(), array.end(), [](auto& n) { return n.is_number_unsigned(); });
  if (!valid) {
    throw TelemetryError("burn counts must be an array of unsigned numbers");
  }
  ServiceLevelCounts counts;
  counts.good = array[0];
  for (std::size_t i = 0; i < kBadAnswerCauseCount; ++i) {
    counts.bad.at(i) = array[i + 1];
  }
  counts.movedShards = array[kBadAnswerCauseCount + 1];
  counts.unavailableMs = array[kBadAnswerCauseCount + 2];
  return counts;
}

} // namespace sycamore::telemetry
