#pragma once

#include "Baseline.h"

#include <utility>

namespace sycamore::placement::quality {

// Consistent hashing with 100 virtual nodes per server.
class RingBaseline : public Baseline
{
public:
  static constexpr int kVirtualNodes = 100;

  explicit RingBaseline(const std::vector<std::uint64_t>& servers);
  std::string name() const override { return "consistent-hashing-100"; }
  std::uint32_t owner(std::uint64_t hash) const override;
  double hashShare(std::uint32_t server) const override { return shares_.at(server); }

private:
  std::vector<std::pair<std::uint64_t, std::uint32_t>> ring_;
  std::vector<double> shares_;
};

} // namespace sycamore::placement::quality
