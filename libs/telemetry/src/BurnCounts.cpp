#include <telemetry/BurnCounts.h>

#include <telemetry/TelemetryError.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace sycamore::telemetry {

std::uint64_t BurnCounts::badTotal() const
{
  return std::accumulate(bad.begin(), bad.end(), std::uint64_t(0));
}

double BurnCounts::badRatio() const
{
  return total() == 0 ? 0 : static_cast<double>(badTotal()) / static_cast<double>(total());
}

BurnCounts& BurnCounts::operator+=(const BurnCounts& later)
{
  good += later.good;
  std::transform(bad.begin(), bad.end(), later.bad.begin(), bad.begin(), std::plus<>());
  moves += later.moves;
  unavailableMs += later.unavailableMs;
  return *this;
}

void BurnCounts::merge(const BurnCounts& other)
{
  const auto mostMoves = std::max(moves, other.moves);
  const auto mostUnavailable = std::max(unavailableMs, other.unavailableMs);
  *this += other;
  moves = mostMoves;
  unavailableMs = mostUnavailable;
}

nlohmann::json BurnCounts::toJson() const
{
  nlohmann::json form = nlohmann::json::array({ good });
  for (const std::uint64_t count : bad) {
    form.push_back(count);
  }
  form.push_back(moves);
  form.push_back(unavailableMs);
  return form;
}

BurnCounts BurnCounts::fromJson(const nlohmann::json& form)
{
  const bool valid =
    form.is_array() && form.size() == kBurnCauses + 3 &&
    std::all_of(form.begin(), form.end(), [](auto& n) { return n.is_number_unsigned(); });
  if (!valid) {
    throw TelemetryError("burn counts must be an array of unsigned numbers");
  }
  BurnCounts counts;
  counts.good = form[0];
  for (std::size_t i = 0; i < kBurnCauses; ++i) {
    counts.bad.at(i) = form[i + 1];
  }
  counts.moves = form[kBurnCauses + 1];
  counts.unavailableMs = form[kBurnCauses + 2];
  return counts;
}

} // namespace sycamore::telemetry
