#include "ZipfKeys.h"

#include <algorithm>

namespace sycamore::placement::quality {

namespace {

constexpr double kEulerMascheroni = 0.57721566490153286;

} // namespace

ZipfKeys::ZipfKeys(std::uint64_t population, std::string prefix)
  : population_(population)
  , prefix_(std::move(prefix))
{
  const auto size = static_cast<double>(population);
  harmonic_ = std::log(size) + kEulerMascheroni + 1 / (2 * size);
  double sum = 0;
  for (std::uint64_t rank = 1; rank <= std::min(population, kHeadSize); ++rank) {
    sum += share(rank);
    cumulative_.push_back(sum);
  }
}

std::uint64_t ZipfKeys::headIndex(double quantile) const
{
  const auto found = std::ranges::upper_bound(cumulative_, quantile);
  return static_cast<std::uint64_t>(found - cumulative_.begin());
}

} // namespace sycamore::placement::quality
