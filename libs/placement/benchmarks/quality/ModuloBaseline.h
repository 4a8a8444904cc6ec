#pragma once

#include "Baseline.h"

namespace sycamore::placement::quality {

// Chooses a server by the hash modulo the number of servers.
class ModuloBaseline : public Baseline
{
public:
  explicit ModuloBaseline(std::vector<std::uint64_t> servers)
    : servers_(std::move(servers))
  {
  }
  std::string name() const override { return "modulo"; }
  std::uint32_t owner(std::uint64_t hash) const override
  {
    return static_cast<std::uint32_t>(hash % servers_.size());
  }
  double hashShare(std::uint32_t) const override
  {
    return 1.0 / static_cast<double>(servers_.size());
  }

private:
  std::vector<std::uint64_t> servers_;
};

} // namespace sycamore::placement::quality
