#pragma once

#include "ModelMap.h"
#include "Network.h"

#include <functional>
#include <vector>

namespace sycamore::ownership::model {

// The object API: one shard map with conditional writes, which may be late, lose their answers or
// fail in an outage.
class FakePlatform
{
public:
  // The map after the call, or the winning one after a conflict; null if there is no answer.
  using Reply = std::function<void(MapPtr)>;

  FakePlatform(EventQueue& events, Network& network, int node, MapPtr first)
    : events_(events)
    , network_(network)
    , node_(node)
    , history_{ std::move(first) }
  {
  }

  void setOutage(base::Duration until) { outageUntil_ = until; }
  void setFaults(double lostAnswers, double lateWrites)
  {
    lostAnswers_ = lostAnswers;
    lateWrites_ = lateWrites;
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
    const bool late = network_.chance(lateWrites_);
    network_.send(from, node_, [this, from, map, condition, reply, late] {
      if (!reachable() && !late) {
        return;
      }
      // A write on its way through the platform can take effect long after it was sent.
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
    if (!network_.chance(lostAnswers_)) {
      network_.send(node_, to, [reply, map = current()] { reply(map); });
    }
  }

  EventQueue& events_;
  Network& network_;
  int node_;
  std::vector<MapPtr> history_;
  base::Duration outageUntil_{};
  double lostAnswers_ = 0;
  double lateWrites_ = 0;
};

} // namespace sycamore::ownership::model
