#pragma once

#include "ModelMap.h"
#include "Network.h"

#include <functional>
#include <vector>

namespace sycamore::ownership::model {

// The platform's object API: one shard map with conditional writes, which may take effect late,
// lose their answers or fail in an outage.
class FakePlatform
{
public:
  // Receives the map after the call, which is that of another writer after a conflict. It is not
  // called if the answer is lost.
  using Reply = std::function<void(MapPtr)>;

  FakePlatform(EventQueue& events, Network& network, int node, MapPtr first)
    : events_(events)
    , network_(network)
    , node_(node)
    , history_{ std::move(first) }
  {
  }

  void setOutage(base::Duration until) { outageUntil_ = until; }
  void setFaults(double lostAnswerProbability, double lateWriteProbability)
  {
    lostAnswerProbability_ = lostAnswerProbability;
    lateWriteProbability_ = lateWriteProbability;
  }
  bool reachable() const { return events_.now() >= outageUntil_; }

  void get(int from, Reply reply)
  {
    network_.send(from, node_, [this, from, reply] {
      if (reachable()) {
        answer(from, reply);
      }
    });
  }

  void put(int from, MapPtr map, base::Generation condition, Reply reply)
  {
    const bool late = network_.chance(lateWriteProbability_);
    network_.send(from, node_, [this, from, map, condition, reply, late] {
      if (!reachable() && !late) {
        return;
      }
      // A write that is delayed inside the platform can take effect long after it was sent.
      events_.after(late ? base::milliseconds(900) : base::milliseconds(3),
                    [this, from, map, condition, reply] {
                      if (history_.back()->generation == condition) {
                        history_.push_back(map);
                      }
                      answer(from, reply);
                    });
    });
  }

  const std::vector<MapPtr>& history() const { return history_; }
  MapPtr current() const { return history_.back(); }

private:
  void answer(int to, const Reply& reply)
  {
    if (!network_.chance(lostAnswerProbability_)) {
      network_.send(node_, to, [reply, map = current()] { reply(map); });
    }
  }

  EventQueue& events_;
  Network& network_;
  int node_;
  std::vector<MapPtr> history_;
  base::Duration outageUntil_{};
  double lostAnswerProbability_ = 0;
  double lateWriteProbability_ = 0;
};

} // namespace sycamore::ownership::model
