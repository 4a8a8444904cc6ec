#pragma once

#include <quality/QualityReport.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

namespace sycamore::quality {

// Parses "--seed=N" and "--runs=N", runs the measurements, and returns 1 if a bound is violated.
inline int qualityMain(int argc,
                       char** argv,
                       const std::string& program,
                       const std::function<void(QualityReport&)>& measure)
{
  std::uint64_t seed = 1;
  int runs = 5;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument.starts_with("--seed=")) {
      seed = std::strtoull(argument.c_str() + 7, nullptr, 10);
    } else if (argument.starts_with("--runs=")) {
      runs = std::max(1, std::atoi(argument.c_str() + 7));
    } else {
      std::cerr << "usage: " << program << " [--seed=N] [--runs=N]\n";
      return 2;
    }
  }
  const std::string command =
    program + " --seed=" + std::to_string(seed) + " --runs=" + std::to_string(runs);
  QualityReport report(command, seed, runs);
  measure(report);
  return report.violatedBounds() == 0 ? 0 : 1;
}

} // namespace sycamore::quality
