#include "Baselines.h"

#include "ModuloBaseline.h"
#include "RendezvousBaseline.h"
#include "RingBaseline.h"

#include <base/KeyHash.h>

namespace sycamore::placement::quality {

std::vector<std::uint64_t> serverHashes(const Scenario& scenario, std::uint32_t count)
{
  std::vector<std::uint64_t> hashes;
  for (std::uint32_t i = 0; i < count; ++i) {
    hashes.push_back(base::hashBytes(scenario.name + "-" + std::to_string(i)));
  }
  return hashes;
}

std::vector<std::unique_ptr<Baseline>> makeBaselines(const std::vector<std::uint64_t>& servers)
{
  std::vector<std::unique_ptr<Baseline>> baselines;
  baselines.push_back(std::make_unique<ModuloBaseline>(servers));
  baselines.push_back(std::make_unique<RingBaseline>(servers));
  baselines.push_back(std::make_unique<RendezvousBaseline>(servers));
  return baselines;
}

} // namespace sycamore::placement::quality
