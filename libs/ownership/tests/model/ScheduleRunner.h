#pragma once

#include "Schedule.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace sycamore::ownership::model {

// Result of a range of seeds. failingSeed is the lowest failing seed seen.
struct RunReport
{
  std::uint64_t schedules = 0;
  std::uint64_t commits = 0;
  std::uint64_t acknowledged = 0;
  std::optional<std::uint64_t> failingSeed;
  std::string violation;
};

// Runs schedules on four threads until one fails or all seeds have been run.
template<OwnershipRules Rules>
RunReport runSchedules(std::uint64_t firstSeed, std::uint64_t count)
{
  RunReport report;
  std::mutex mutex;
  std::atomic<std::uint64_t> next{ firstSeed };
  std::atomic<bool> failed{ false };
  const auto work = [&] {
    while (!failed) {
      const std::uint64_t seed = next++;
      if (seed >= firstSeed + count) {
        return;
      }
      const ScheduleResult result = Schedule<Rules>(seed).run();
      const std::lock_guard lock(mutex);
      ++report.schedules;
      report.commits += result.commits;
      report.acknowledged += result.acknowledged;
      if (result.violation && (!report.failingSeed || seed < *report.failingSeed)) {
        report.failingSeed = seed;
        report.violation = *result.violation;
        failed = true;
      }
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return report;
}

} // namespace sycamore::ownership::model
