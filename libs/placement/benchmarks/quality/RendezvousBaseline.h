#pragma once

#include "Baseline.h"

namespace sycamore::placement::quality {

// Chooses the server with the highest hash of key and server.
class RendezvousBaseline : public Baseline
{
public:
  explicit RendezvousBaseline(std::vector<std::uint64_t> servers)
    : servers_(std::move(servers))
  {
  }
  std::string name() const override { return "rendezvous"; }
  std::uint32_t owner(std::uint64_t hash) const override;
  double hashShare(std::uint32_t) const override
  {
    return 1.0 / static_cast<double>(servers_.size());
  }

private:
  std::vector<std::uint64_t> servers_;
};

} // namespace sycamore::placement::quality
