#pragma once

#include <base/Random.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace sycamore::placement::quality {

// Keys with Zipf(1.0) popularity. The most popular keys (the head) have individual shares; the
// others are treated as a sum, because each has less than a millionth of the load.
class ZipfKeys
{
public:
  static constexpr std::uint64_t kHeadSize = 200'000;

  ZipfKeys(std::uint64_t population, std::string prefix);

  std::uint64_t population() const { return population_; }
  std::string key(std::uint64_t rank) const { return prefix_ + std::to_string(rank); }
  std::uint64_t headSize() const { return cumulative_.size(); }
  // Returns the share of all requests for the key of a rank from 1 to headSize().
  double share(std::uint64_t rank) const { return 1.0 / (static_cast<double>(rank) * harmonic_); }
  // Returns the share of all requests for keys beyond the head.
  double tailShare() const { return 1.0 - cumulative_.back(); }

  template<base::RandomSource Random>
  std::uint64_t sampleRank(Random& random) const
  {
    const double quantile = std::uniform_real_distribution<double>()(random);
    if (quantile < cumulative_.back()) {
      return 1 + headIndex(quantile);
    }
    // Beyond the head the sum of 1/rank is approximated by the logarithm.
    const double rest = (quantile - cumulative_.back()) / tailShare();
    const double head = static_cast<double>(headSize());
    return static_cast<std::uint64_t>(
      head * std::exp(rest * std::log(static_cast<double>(population_) / head)));
  }

private:
  std::uint64_t headIndex(double quantile) const;

  std::uint64_t population_;
  std::string prefix_;
  double harmonic_ = 0;
  std::vector<double> cumulative_;
};

} // namespace sycamore::placement::quality
