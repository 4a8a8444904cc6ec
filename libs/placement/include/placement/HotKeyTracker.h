#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <placement/HotKeySummary.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamore::placement {

// Finds the most requested keys of a request stream in bounded memory, using the Space-Saving
// algorithm with counts that decay exponentially. Not thread-safe: each traffic thread has its own
// tracker, and the control thread merges their summaries. record() takes time logarithmic in the
// capacity.
class HotKeyTracker
{
public:
  struct Options
  {
    // Number of counters, one per key. 1,024 counters find every key that gets more than 1/1,024 of
    // the requests.
    std::size_t capacity = 1024;
    // Time constant of the decay. A key that turns hot shows two thirds of its rate after this
    // time.
    base::Duration timeConstant = std::chrono::seconds(2);
    // Longer keys are not tracked, which bounds the memory.
    std::size_t maxKeyBytes = 512;
  };

  HotKeyTracker();
  explicit HotKeyTracker(Options options);

  // Counts a request. Times must not decrease; a time before the latest one is treated as the
  // latest.
  void record(std::string_view key, base::TimePoint now, double weight = 1.0);

  // Returns the most requested keys at the given time, at most maxEntries.
  HotKeySummary summary(base::TimePoint now, std::size_t maxEntries) const;

  // Returns the size of the tracker in bytes, including heap memory.
  std::size_t memoryBytes() const;
  std::size_t size() const { return heap_.size(); }

private:
  struct Counter
  {
    std::string key;
    // Sum of the weights of the requests, each multiplied by scaleAt() of its time.
    double count = 0;
    double error = 0;
  };

  double scaleAt(base::TimePoint now) const;
  void updateScale();
  double rateFactor(base::TimePoint now) const;
  void startEpoch(base::TimePoint now);
  void insert(std::string_view key, double count);
  void replaceSmallest(std::string_view key, double count);
  void siftUp(std::size_t slot);
  void siftDown(std::size_t slot);
  void setHeapSlot(std::size_t slot, std::uint32_t counter);

  Options options_;
  base::TimePoint epochStart_{};
  base::TimePoint latestTime_{};
  base::TimePoint scaleUpdatedAt_{};
  double scale_ = 1.0;
  bool hasStarted_ = false;
  double total_ = 0;
  // Never reallocated, so that the string views in index_ stay valid.
  std::vector<Counter> counters_;
  // Min-heap by count, holding positions in counters_.
  std::vector<std::uint32_t> heap_;
  std::vector<std::uint32_t> heapPosition_;
  std::unordered_map<std::string_view, std::uint32_t> index_;
};

} // namespace sycamore::placement
