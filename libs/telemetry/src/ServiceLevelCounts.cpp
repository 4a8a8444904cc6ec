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
  nlohmann::json encoded = nlohmann::json::array({ good });
  for (const std::uint64_t count : bad) {
    encoded.push_back(count);
  }
  encoded.push_back(movedShards);
  encoded.push_back(unavailableMs);
  return encoded;
}

ServiceLevelCounts ServiceLevelCounts::fromJson(const nlohmann::json& encoded)
{
  const bool isValid = encoded.is_array() && encoded.size() == kBadAnswerCauseCount + 3 &&
                       std::all_of(encoded.begin(), encoded.end(), [](auto& count) {
                         return count.is_number_unsigned();
                       });
  if (!isValid) {
    throw TelemetryError("service-level counts must be an array of " +
                         std::to_string(kBadAnswerCauseCount + 3) + " unsigned integers");
  }
  ServiceLevelCounts counts;
  counts.good = encoded[0];
  for (std::size_t i = 0; i < kBadAnswerCauseCount; ++i) {
    counts.bad.at(i) = encoded[i + 1];
  }
  counts.movedShards = encoded[kBadAnswerCauseCount + 1];
  counts.unavailableMs = encoded[kBadAnswerCauseCount + 2];
  return counts;
}

} // namespace sycamore::telemetry
