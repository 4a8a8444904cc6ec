#pragma once

#include <base/Time.h>

#include <array>
#include <random>
#include <string>
#include <vector>

namespace sycamore::quality {

// Present size of a team's deployment (docs/design.md, section 1.5). That section does not state
// service times; 4 ms with a gamma distribution of shape 4 is an assumption.
struct Scenario
{
  std::string name;
  unsigned slots;
  std::array<int, 3> serversPerService;
  base::Duration hop;
  base::Duration meanServiceTime = base::milliseconds(4);
  int entryVms = 12;
};

inline std::vector<Scenario> scenarios()
{
  return { { "norte", 2, { 20, 8, 6 }, std::chrono::microseconds(1000) },
           { "dixie-south", 6, { 20, 10, 6 }, std::chrono::microseconds(500) } };
}

inline base::Duration drawServiceTime(const Scenario& scenario, std::mt19937_64& random)
{
  constexpr double kShape = 4;
  std::gamma_distribution<double> gamma(
    kShape, static_cast<double>(scenario.meanServiceTime.count()) / kShape);
  return base::Duration(static_cast<base::Duration::rep>(gamma(random)));
}

// Returns the time to the next arrival of a Poisson process.
inline base::Duration drawInterarrivalTime(double ratePerSecond, std::mt19937_64& random)
{
  std::exponential_distribution<double> gap(ratePerSecond / 1e9);
  return base::Duration(static_cast<base::Duration::rep>(gap(random)) + 1);
}

} // namespace sycamore::quality
