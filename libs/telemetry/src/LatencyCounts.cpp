#include <telemetry/LatencyCounts.h>

#include <telemetry/TelemetryError.h>

#include <algorithm>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace sycamore::telemetry {

namespace {

const LatencyAxis& sharedAxis()
{
  static const LatencyAxis axis = makeLatencyAxis();
  return axis;
}

} // namespace

LatencyCounts::LatencyCounts()
  : counts_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
                                                  sharedAxis()))
{
}

void LatencyCounts::add(int bin, std::uint64_t count)
{
  counts_.at(bin) += count;
  total_ += count;
}

LatencyCounts& LatencyCounts::operator+=(const LatencyCounts& other)
{
  counts_ += other.counts_;
  total_ += other.total_;
  return *this;
}

std::uint64_t LatencyCounts::at(int bin) const
{
  return counts_.at(bin);
}

std::uint64_t LatencyCounts::cumulative(int bin) const
{
  std::uint64_t sum = 0;
  for (int i = -1; i <= bin; ++i) {
    sum += at(i);
  }
  return sum;
}

std::optional<LatencyBounds> LatencyCounts::quantile(double q) const
{
  if (total_ == 0) {
    return std::nullopt;
  }
  const double exactRank = std::ceil(q * static_cast<double>(total_));
  const auto rank = std::clamp<std::uint64_t>(static_cast<std::uint64_t>(exactRank), 1, total_);
  std::uint64_t cumulativeCount = 0;
  int bin = -1;
  while ((cumulativeCount += at(bin)) < rank) {
    ++bin;
  }
  return bounds(bin);
}

nlohmann::json LatencyCounts::toJson() const
{
  nlohmann::json encoded = nlohmann::json::array();
  for (int bin = -1; total_ > 0 && bin <= kLatencyBins; ++bin) {
    if (at(bin) > 0) {
      encoded.push_back(bin);
      encoded.push_back(at(bin));
    }
  }
  return encoded;
}

LatencyCounts LatencyCounts::fromJson(const nlohmann::json& encoded)
{
  if (!encoded.is_array() || encoded.size() % 2 != 0) {
    throw TelemetryError("latencies must be an array of alternating bins and counts");
  }
  LatencyCounts counts;
  for (std::size_t i = 0; i < encoded.size(); i += 2) {
    const bool isValid = encoded[i].is_number_integer() && encoded[i + 1].is_number_unsigned();
    const auto bin = isValid ? encoded[i].get<std::int64_t>() : INT64_MIN;
    if (bin < -1 || bin > kLatencyBins) {
      throw TelemetryError("a latency bin is out of range or its count is not an unsigned integer");
    }
    counts.add(static_cast<int>(bin), encoded[i + 1].get<std::uint64_t>());
  }
  return counts;
}

int LatencyCounts::bin(base::Duration latency)
{
  // Values of 0 or less have no logarithm; the axis would count them above the last bin.
  if (latency.count() <= 0) {
    return -1;
  }
  return sharedAxis().index(std::chrono::duration<double>(latency).count());
}

LatencyBounds LatencyCounts::bounds(int bin)
{
  return { bin < 0 ? 0 : sharedAxis().value(bin),
           bin >= kLatencyBins ? std::numeric_limits<double>::infinity()
                               : sharedAxis().value(bin + 1) };
}

} // namespace sycamore::telemetry
