#pragma once

#include "EventQueue.h"

#include <map>
#include <random>
#include <utility>

namespace sycamore::ownership::model {

// Delivers messages between nodes, with loss, delay, duplication, reordering and one-way cuts.
class Network
{
public:
  // Probabilities that a message is lost, delayed by up to maxDelay, or duplicated.
  struct MessageFaults
  {
    double loss = 0;
    double slow = 0;
    double duplicate = 0;
    base::Duration maxDelay = base::milliseconds(1500);
  };

  Network(EventQueue& events, std::mt19937_64& random)
    : events_(events)
    , random_(random)
  {
  }

  void setMessageFaults(MessageFaults faults) { faults_ = faults; }
  void cut(int from, int to, base::Duration until) { cuts_[{ from, to }] = until; }
  void heal() { cuts_.clear(); }

  void send(int from, int to, EventQueue::Event deliver)
  {
    const auto cut = cuts_.find({ from, to });
    if ((cut != cuts_.end() && events_.now() < cut->second) || chance(faults_.loss)) {
      return;
    }
    if (chance(faults_.duplicate)) {
      events_.after(delay(), deliver);
    }
    events_.after(delay(), std::move(deliver));
  }

  bool chance(double probability)
  {
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

private:
  base::Duration delay()
  {
    if (chance(faults_.slow)) {
      return std::uniform_int_distribution<std::int64_t>(0, faults_.maxDelay.count())(random_) *
             base::Duration(1);
    }
    return base::Duration(std::uniform_int_distribution<std::int64_t>(200'000, 2'000'000)(random_));
  }

  EventQueue& events_;
  std::mt19937_64& random_;
  MessageFaults faults_;
  std::map<std::pair<int, int>, base::Duration> cuts_;
};

} // namespace sycamore::ownership::model
