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

// Finds the busiest keys of a request stream in bounded memory: a space-saving summary whose counts
// decay exponentially. Not thread-safe; each traffic thread has its own, and the control thread
// merges their summaries. One call of record() takes time logarithmic in the capacity.
class HotKeyTracker
{
public:
  struct Options
  {
    // Counters, each with its key. 1,024 find every key above 1/1,024 of the requests.
    std::size_t capacity = 1024;
    // A key that turns hot shows two thirds of its rate after one time constant.
    base::Duration timeConstant = std::chrono::seconds(2);
    // Keys above this size are not tracked, to bound the memory.
    std::size_t maxKeyBytes = 512;
  };

  HotKeyTracker();
  explicit HotKeyTracker(Options options);

  // Counts a request. Times must not decrease; earlier ones count as the latest.
  void record(std::string_view key, base::TimePoint now, double weight = 1.0);

  // The busiest keys at present, at most maxEntries.
  HotKeySummary summary(base::TimePoint now, std::size_t maxEntries) const;

  // Heap and object bytes in use.
  std::size_t memoryBytes() const;
  std::size_t size() const { return heap_.size(); }

private:
  struct Counter
  {
    std::string key;
    // In units of weightAt(start of the epoch).
    double count = 0;
    double error = 0;
  };

  double scaleAt(base::TimePoint now) const;
  void updateScale();
  double rateFactor(base::TimePoint now) const;
  void startEpoch(base::TimePoint now);
  void insert(std::string_view key, double count);
  void replaceSmallest(std::string_view key, double count);
  void siftUp(std::size_t at);
  void siftDown(std::size_t at);
  void place(std::size_t at, std::uint32_t counter);

  Options options_;
  base::TimePoint epoch_{};
  base::TimePoint latest_{};
  base::TimePoint scaledAt_{};
  double scale_ = 1.0;
  bool started_ = false;
  double total_ = 0;
  // Sized once, so that the string views of index_ stay valid.
  std::vector<Counter> counters_;
  // Positions in counters_, the smallest count first.
  std::vector<std::uint32_t> heap_;
  std::vector<std::uint32_t> heapPosition_;
  std::unordered_map<std::string_view, std::uint32_t> index_;
};

} // namespace sycamore::placement
