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
  // A short queue: waiting behind more than this takes longer than a retry elsewhere.
  std::size_t maxLength = 64;
  std::size_t maxBytes = 4 * 1024 * 1024;
};

// How fast the queue is served at present.
struct DrainEstimate
{
  // Mean time between two dispatches.
  base::Duration perItem{};
  // Mean time of one request on the server.
  base::Duration serviceTime{};
};

// Result of a push.
struct PushResult
{
  bool queued = false;
  // Why not: it would wait too long, as opposed to lack of room.
  bool tooLate = false;
  // Estimated wait until there is room, for Retry-After.
  base::Duration retryAfter{};
  // Work that lost its place to this one; it has not run.
  std::vector<QueuedWork> displaced;
};

// A bounded queue that serves its flows in turn. A flow that fills the queue loses its newest work
// to flows with less, so one busy caller or key cannot lock out the others. Not thread-safe: the
// owner holds a mutex.
class FairQueue
{
public:
  explicit FairQueue(FairQueueSettings settings = {});
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  // Adds work, unless by the estimate it would not be finished before its deadline, or would wait
  // longer than it may.
  PushResult push(QueuedWork work, const DrainEstimate& estimate, base::TimePoint now);

  // The next work in turn whose deadline has not passed, left in the queue; null if there is none.
  const QueuedWork* front(base::TimePoint now) const;

  // Removes and returns front().
  std::optional<QueuedWork> pop(base::TimePoint now);

  // Removes and returns the work whose deadline has passed.
  std::vector<QueuedWork> takeExpired(base::TimePoint now);

  // Removes and returns everything, in turn.
  std::vector<QueuedWork> takeAll();

  // Removes one, for a caller that went away. False if it is not queued.
  bool remove(WorkId id);

  // The earliest deadline of queued work.
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
  std::size_t position(const std::string& flow) const;
  bool fits(std::size_t length, std::size_t bytes) const;
  bool makeRoom(const QueuedWork& work, std::vector<QueuedWork>& displaced);
  void append(QueuedWork work);
  QueuedWork take(Flows::iterator flow, std::list<QueuedWork>::iterator work);

  FairQueueSettings settings_;
  // Flows with work, in the order of their turns.
  Flows flows_;
  std::unordered_map<std::string, Flows::iterator> byName_;
  std::multiset<base::TimePoint> deadlines_;
  std::size_t length_ = 0;
  std::size_t bytes_ = 0;
};

} // namespace sycamore::admission
