#pragma once

#include "Model.h"

namespace sycamore::ownership::model {

// Result of one schedule.
struct ScheduleResult
{
  std::optional<std::string> violation;
  std::size_t commits = 0;
  std::size_t acknowledged = 0;
};

// One randomized schedule: a start without any state, faults at random times, then a period without
// faults, at the end of which every shard must be served again. It is determined by the seed alone.
template<OwnershipRules Rules>
class Schedule
{
public:
  using milliseconds = base::milliseconds;

  explicit Schedule(std::uint64_t seed)
    : model_(seed, 4, 2 + static_cast<int>(seed % 2), 6)
  {
  }

  ScheduleResult run()
  {
    planFaults();
    if (model_.runUntil(kFaultsEnd)) {
      endFaults();
      model_.runUntil(kFaultsEnd + kServedTimeout);
    }
    if (!model_.checker().violation()) {
      model_.checkAcknowledged();
      for (const std::uint32_t shard : model_.unservedShards()) {
        model_.checker().fail(
          model_.events().now(), "shard ", shard, " is not served", model_.describe());
      }
    }
    return { model_.checker().violation(), model_.commits(), model_.acknowledgedCount() };
  }

private:
  static constexpr milliseconds kFaultsEnd{ 6000 };
  // Covers the abstention of restarted voters for 0.8 s and then an eviction, a failover write and
  // a new term.
  static constexpr milliseconds kServedTimeout{ 4500 };

  void planFaults()
  {
    const double scale = model_.pick(3) / 2.0;
    model_.network().setMessageFaults(
      { 0.05 * scale * model_.pick(3), 0.02 * scale * model_.pick(4), 0.02 * model_.pick(3) });
    model_.setWorkerDelay(0.06 * model_.pick(4));
    model_.platform().setFaults(0.15 * model_.pick(3), 0.1 * model_.pick(4));
    for (int moves = model_.pick(12); moves > 0; --moves) {
      model_.events().at(milliseconds(1100 + model_.pick(4700)), [this] {
        model_.planMove(model_.pick(model_.serverCount()), model_.pick(model_.serverCount()));
      });
    }
    const int faults = 3 + model_.pick(20);
    for (int i = 0; i < faults; ++i) {
      model_.events().at(milliseconds(1100 + model_.pick(4700)), [this] { fault(); });
    }
  }

  void fault()
  {
    const int vm = model_.pick(model_.vmCount());
    const int server = model_.pick(model_.serverCount());
    switch (model_.pick(20)) {
      case 0:
        return model_.pauseVm(vm, span(1800));
      case 1:
        return model_.restartVm(vm, span(600));
      case 2:
        return model_.freezeServer(server, span(2000));
      case 3:
        return model_.restartServer(server, span(400));
      case 4:
        return cut(vm, model_.pick(model_.vmCount()));
      case 5:
        return cut(vm, model_.serverNode(server));
      case 6:
        return cut(model_.serverNode(server), vm);
      case 7:
        return isolate(vm);
      case 8:
        return model_.platform().setOutage(model_.events().now() + span(2000));
      case 9:
        return model_.planVoterChange(server);
      case 10:
        return model_.resign(server);
      case 11:
        return moveThenLoseHolder(server);
      case 12:
        return cutHolder(server);
      case 13:
        return moveThenLoseServer(server);
      case 14:
        return evictThenRestartVoter(server, vm);
      default:
        return model_.planMove(server, model_.pick(model_.serverCount()));
    }
  }

  milliseconds span(int most) { return milliseconds(50 + model_.pick(most)); }

  void cut(int from, int to) { model_.network().cut(from, to, model_.events().now() + span(2500)); }

  void isolate(int vm)
  {
    const base::Duration until = model_.events().now() + span(2500);
    for (int peer = 0; peer < model_.vmCount(); ++peer) {
      model_.network().cut(vm, peer, until);
      model_.network().cut(peer, vm, until);
    }
  }

  // Cuts the holder off from its server, while other VMs may still reach it.
  void cutHolder(int server)
  {
    const int holder = model_.holderOf(server);
    if (holder >= 0) {
      const base::Duration until = model_.events().now() + span(2500);
      model_.network().cut(holder, model_.serverNode(server), until);
      model_.network().cut(model_.serverNode(server), holder, until);
    }
  }

  void moveThenLoseHolder(int server)
  {
    const int holder = model_.holderOf(server);
    model_.planMove(server, model_.pick(model_.serverCount()));
    if (holder >= 0) {
      model_.events().after(milliseconds(model_.pick(30)), [this, holder] { isolate(holder); });
    }
  }

  // Leaves the result of a move's write unknown while the server is evicted.
  void moveThenLoseServer(int server)
  {
    model_.planMove(server, model_.pick(model_.serverCount()));
    model_.events().after(milliseconds(4 + model_.pick(20)), [this, server] {
      model_.freezeServer(server, span(2000));
      model_.platform().setOutage(model_.events().now() + span(1500));
    });
  }

  void evictThenRestartVoter(int server, int vm)
  {
    cutHolder(server);
    model_.platform().setOutage(model_.events().now() + span(2000));
    model_.events().after(milliseconds(500 + model_.pick(600)),
                          [this, vm] { model_.restartVm(vm, milliseconds(1)); });
  }

  void endFaults()
  {
    model_.network().heal();
    model_.network().setMessageFaults({});
    model_.setWorkerDelay(0);
    model_.platform().setOutage(base::Duration{});
    model_.platform().setFaults(0, 0);
    for (int vm = 0; vm < model_.vmCount(); ++vm) {
      model_.pauseVm(vm, base::Duration{});
    }
    for (int server = 0; server < model_.serverCount(); ++server) {
      model_.freezeServer(server, base::Duration{});
    }
  }

  Model<Rules> model_;
};

} // namespace sycamore::ownership::model
