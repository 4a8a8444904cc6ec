#pragma once

#include <admission/QueuedWork.h>
#include <base/Time.h>

#include <cstddef>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore::admission {

struct FairQueueSettings
{
  // Kept short: waiting behind more requests than this takes longer than a retry on another server.
  std::size_t maxLength = 64;
  std::size_t maxBytes = 4 * 1024 * 1024;
};

// Estimate of the rate at which the queue is currently served.
struct ServiceEstimate
{
  // Mean time between two dispatches from the queue.
  base::Duration dispatchInterval{};
  // Mean time that one request takes on the server.
  base::Duration serviceTime{};
};

// Result of a push.
struct PushResult
{
  bool queued = false;
  // The request was refused because of its estimated wait, not for lack of room.
  bool waitTooLong = false;
  // Estimated wait until there is room, for the Retry-After header.
  base::Duration retryAfter{};
  // Queued work that was removed to make room. It has not run.
  std::vector<QueuedWork> evicted;
};

// Bounded queue that serves its flows in round-robin order. When it is full, work of a shorter flow
// evicts the newest work of the longest flow, so that one busy caller or key cannot starve the
// others. Not thread-safe: the owner holds a mutex.
class FairQueue
{
public:
  explicit FairQueue(FairQueueSettings settings = {});
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  // Adds work, unless it is estimated to finish after its deadline or to wait longer than its
  // maxWait.
  PushResult push(QueuedWork work, const ServiceEstimate& estimate, base::TimePoint now);

  // Returns the next work whose deadline has not passed, without removing it; null if there is
  // none.
  const QueuedWork* front(base::TimePoint now) const;

  // Removes and returns front().
  std::optional<QueuedWork> pop(base::TimePoint now);

  // Removes and returns the work whose deadline has passed.
  std::vector<QueuedWork> takeExpired(base::TimePoint now);

  // Removes and returns all work, in the order of service.
  std::vector<QueuedWork> takeAll();

  // Removes the work of a caller that has disconnected. Returns false if it is not queued.
  bool remove(WorkId id);

  // Returns the earliest deadline of queued work; nothing if the queue is empty.
  std::optional<base::TimePoint> nextDeadline() const;

  std::size_t length() const { return length_; }
  std::size_t bytes() const { return bytes_; }
  bool empty() const { return length_ == 0; }

private:
  struct Flow
  {
    std::string name;
    std::list<QueuedWork> work;
  };
  using Flows = std::list<Flow>;

  std::size_t lengthOf(const std::string& flow) const;
  std::size_t queuePosition(const std::string& flow) const;
  bool fits(std::size_t length, std::size_t bytes) const;
  bool makeRoom(const QueuedWork& work, std::vector<QueuedWork>& evicted);
  void append(QueuedWork work);
  QueuedWork take(Flows::iterator flow, std::list<QueuedWork>::iterator work);

  FairQueueSettings settings_;
  // Flows that have queued work, in round-robin order.
  Flows flows_;
  std::unordered_map<std::string, Flows::iterator> byName_;
  std::multiset<base::TimePoint> deadlines_;
  std::size_t length_ = 0;
  std::size_t bytes_ = 0;
};

} // namespace sycamore::admission
