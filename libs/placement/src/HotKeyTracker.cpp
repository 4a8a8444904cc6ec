#include <placement/HotKeyTracker.h>

#include <placement/PlacementError.h>

#include <algorithm>
#include <cmath>

namespace sycamore::placement {

namespace {

// Counts are scaled up by e for each time constant since the start of the epoch. A new epoch starts
// long before doubles lose precision or overflow.
constexpr int kMaxEpochTimeConstants = 100;

// Minimum interval between computations of the scale; the resulting error is below the noise of
// counting.
constexpr base::Duration kScaleInterval = std::chrono::milliseconds(1);

} // namespace

HotKeyTracker::HotKeyTracker()
  : HotKeyTracker(Options{})
{
}

HotKeyTracker::HotKeyTracker(Options options)
  : options_(options)
{
  if (options.capacity == 0 || options.timeConstant <= base::Duration::zero()) {
    throw PlacementError("a hot-key tracker needs a capacity and a time constant above 0");
  }
  counters_.reserve(options.capacity);
  heap_.reserve(options.capacity);
  heapPosition_.reserve(options.capacity);
  index_.reserve(options.capacity);
}

void HotKeyTracker::record(std::string_view key, base::TimePoint now, double weight)
{
  if (!hasStarted_) {
    epochStart_ = now;
    latestTime_ = now;
    scaleUpdatedAt_ = now;
    hasStarted_ = true;
  }
  latestTime_ = std::max(latestTime_, now);
  updateScale();
  const double count = weight * scale_;
  total_ += count;
  if (key.size() > options_.maxKeyBytes) {
    return;
  }
  const auto found = index_.find(key);
  if (found != index_.end()) {
    counters_[found->second].count += count;
    siftDown(heapPosition_[found->second]);
  } else if (counters_.size() < options_.capacity) {
    insert(key, count);
  } else {
    replaceSmallest(key, count);
  }
}

HotKeySummary HotKeyTracker::summary(base::TimePoint now, std::size_t maxEntries) const
{
  HotKeySummary summary;
  const double factor = rateFactor(std::max(now, latestTime_));
  summary.totalRate = total_ * factor;
  if (counters_.size() == options_.capacity) {
    summary.maxUnlistedRate = counters_[heap_.front()].count * factor;
  }
  summary.entries.reserve(counters_.size());
  for (const Counter& counter : counters_) {
    summary.entries.push_back(
      { base::Key(counter.key), counter.count * factor, counter.error * factor });
  }
  // Merging with an empty summary sorts the entries and limits their number.
  return merge(summary, HotKeySummary{}, maxEntries);
}

std::size_t HotKeyTracker::memoryBytes() const
{
  // Size of an entry of index_: a node with two pointers, a hash and the pair. Its bucket pointer
  // is counted below.
  constexpr std::size_t kNodeBytes =
    2 * sizeof(void*) + sizeof(std::pair<const std::string_view, std::uint32_t>);
  const std::size_t inlineKey = std::string().capacity();
  std::size_t bytes = sizeof(*this) + counters_.capacity() * sizeof(Counter) +
                      heap_.capacity() * sizeof(std::uint32_t) +
                      heapPosition_.capacity() * sizeof(std::uint32_t) +
                      index_.size() * kNodeBytes + index_.bucket_count() * sizeof(void*);
  for (const Counter& counter : counters_) {
    bytes += counter.key.capacity() > inlineKey ? counter.key.capacity() + 1 : 0;
  }
  return bytes;
}

double HotKeyTracker::scaleAt(base::TimePoint now) const
{
  const double elapsed = std::chrono::duration<double>(now - epochStart_).count();
  return std::exp(elapsed / std::chrono::duration<double>(options_.timeConstant).count());
}

void HotKeyTracker::updateScale()
{
  if (latestTime_ - scaleUpdatedAt_ < kScaleInterval) {
    return;
  }
  if (latestTime_ - epochStart_ > kMaxEpochTimeConstants * options_.timeConstant) {
    startEpoch(latestTime_);
  }
  scale_ = scaleAt(latestTime_);
  scaleUpdatedAt_ = latestTime_;
}

// At a constant rate r the decayed count converges to r times the time constant.
double HotKeyTracker::rateFactor(base::TimePoint now) const
{
  return 1.0 / (scaleAt(now) * std::chrono::duration<double>(options_.timeConstant).count());
}

void HotKeyTracker::startEpoch(base::TimePoint now)
{
  const double factor = 1.0 / scaleAt(now);
  for (Counter& counter : counters_) {
    counter.count *= factor;
    counter.error *= factor;
  }
  total_ *= factor;
  epochStart_ = now;
}

void HotKeyTracker::insert(std::string_view key, double count)
{
  const auto position = static_cast<std::uint32_t>(counters_.size());
  counters_.push_back({ std::string(key), count, 0 });
  index_.emplace(counters_.back().key, position);
  heap_.push_back(position);
  heapPosition_.push_back(position);
  siftUp(heap_.size() - 1);
}

void HotKeyTracker::replaceSmallest(std::string_view key, double count)
{
  const std::uint32_t position = heap_.front();
  Counter& counter = counters_[position];
  index_.erase(counter.key);
  if (key.size() > counter.key.capacity()) {
    // assign() would grow the capacity by at least half, which is more than the key needs.
    counter.key = std::string(key);
  } else {
    counter.key.assign(key);
  }
  counter.error = counter.count;
  counter.count += count;
  index_.emplace(counter.key, position);
  siftDown(0);
}

void HotKeyTracker::siftUp(std::size_t slot)
{
  const std::uint32_t moving = heap_[slot];
  while (slot > 0 && counters_[heap_[(slot - 1) / 2]].count > counters_[moving].count) {
    setHeapSlot(slot, heap_[(slot - 1) / 2]);
    slot = (slot - 1) / 2;
  }
  setHeapSlot(slot, moving);
}

void HotKeyTracker::siftDown(std::size_t slot)
{
  const std::uint32_t moving = heap_[slot];
  for (std::size_t child = 2 * slot + 1; child < heap_.size(); child = 2 * slot + 1) {
    if (child + 1 < heap_.size() &&
        counters_[heap_[child + 1]].count < counters_[heap_[child]].count) {
      ++child;
    }
    if (counters_[heap_[child]].count >= counters_[moving].count) {
      break;
    }
    setHeapSlot(slot, heap_[child]);
    slot = child;
  }
  setHeapSlot(slot, moving);
}

void HotKeyTracker::setHeapSlot(std::size_t slot, std::uint32_t counter)
{
  heap_[slot] = counter;
  heapPosition_[counter] = static_cast<std::uint32_t>(slot);
}

} // namespace sycamore::placement
