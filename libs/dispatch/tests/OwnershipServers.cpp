#include "OwnershipServers.h"

#include <algorithm>

namespace sycamore::dispatch {

namespace {

constexpr unsigned kServers = 4;
constexpr std::size_t kMaxServers = 7;
constexpr unsigned kFleetServers = 72;
constexpr std::size_t kMaxFleetServers = 96;
// Events per server of a large fleet, as a part of those per server of a small one: with all of
// them few servers would be left at the end.
constexpr double kFleetEvents = 0.15;
// Servers that are added per second.
constexpr double kAddedServers = 0.05;
constexpr double kAddedFleetServers = 0.5;
// The slowest clock that a server may have.
constexpr double kSlowestClock = 0.98;

} // namespace

OwnershipServers::OwnershipServers(OwnershipPlay& play,
                                   OwnershipCheck& check,
                                   base::Duration grantDuration)
  : play_(play)
  , check_(check)
  , grantDuration_(grantDuration)
{
  const unsigned count = isLargeFleet() ? kFleetServers : kServers;
  for (unsigned i = 0; i < count; ++i) {
    add();
  }
}

void OwnershipServers::add()
{
  auto server = std::make_unique<ModelServer>();
  server->id = base::ServerId("s" + std::to_string(nextServer_++));
  server->born = nextBorn_++;
  server->address = "10.0.0." + std::to_string(nextAddress_++) + ":80";
  server->clockRate = play_.basic.probably(0.5) ? kSlowestClock : 1;
  publish(*server);
  servers_.push_back(std::move(server));
}

void OwnershipServers::publish(const ModelServer& server)
{
  entries_[server.id] = {
    server.id, server.born, base::ServiceId("layout"), server.address, base::DomainId("a"), 2,
    false,     {}
  };
}

ModelServer* OwnershipServers::at(const BackendServer& entry)
{
  // The latest process at an address answers there.
  for (auto server = servers_.rbegin(); server != servers_.rend(); ++server) {
    if ((*server)->address == entry.address) {
      return server->get();
    }
  }
  return nullptr;
}

void OwnershipServers::disturb()
{
  const std::size_t count = servers_.size();
  for (std::size_t i = 0; i < count; ++i) {
    disturb(*servers_[i]);
  }
  const std::size_t maxCount = isLargeFleet() ? kMaxFleetServers : kMaxServers;
  const double added = isLargeFleet() ? kAddedFleetServers : kAddedServers;
  if (count < maxCount && play_.basic.chance(added)) {
    add();
  }
}

void OwnershipServers::disturb(ModelServer& server)
{
  const base::TimePoint now = play_.clock.now();
  RandomDraws& draws = play_.basic;
  if (!server.isUp) {
    return;
  }
  const bool isLatestLife = !server.endsAt;
  const double events = isLargeFleet() ? kFleetEvents : 1;
  if (draws.chance(0.06 * events)) {
    server.isUp = false;
    server.holds.clear();
    server.works.clear();
    if (!isLatestLife) {
      return;
    }
    if (draws.probably(0.7)) {
      server.startsAgainAt = now + draws.between(0.02, 1.5);
    } else if (draws.probably(0.5)) {
      server.isReplaced = true;
    } else if (draws.probably(0.5)) {
      entries_.erase(server.id);
    }
  } else if (draws.chance(0.06 * events)) {
    server.pausedUntil = now + draws.between(0.05, 3);
  } else if (draws.chance(0.05 * events)) {
    server.losesAnswersUntil = now + draws.between(0.2, 2);
  } else if (draws.chance(0.02 * events) && isLatestLife && entries_.contains(server.id)) {
    entries_[server.id].draining = true;
  } else if (draws.chance(0.02 * events) && isLatestLife) {
    entries_.erase(server.id);
  }
  if (play_.draws(OwnershipDraw::LaterLife) && isLatestLife && server.isUp &&
      play_.extra.chance(0.05 * events)) {
    startLaterLife(server);
  }
  if (play_.draws(OwnershipDraw::LateRead) && server.isUp && play_.extra.chance(0.15)) {
    server.busyUntil = now + play_.extra.between(0.1, 3);
  }
}

void OwnershipServers::changeDraining()
{
  const ModelServer& server = *servers_[play_.extra.below(servers_.size())];
  const auto entry = entries_.find(server.id);
  if (entry != entries_.end()) {
    entry->second.draining = !entry->second.draining;
  }
}

void OwnershipServers::calmDown()
{
  for (const auto& server : servers_) {
    server->isBehindCut = false;
    if (!server->isUp && !server->startsAgainAt && !server->endsAt) {
      entries_.erase(server->id);
    }
  }
  add();
}

void OwnershipServers::step()
{
  if (entriesBefore_ != entries_) {
    former_.onServersChanged(entriesBefore_, entries_, play_.clock.now());
    entriesBefore_ = entries_;
  }
  for (const auto& server : servers_) {
    if (server->startsAgainAt && play_.clock.now() >= *server->startsAgainAt) {
      startAgain(*server);
    }
    if (server->endsAt && play_.clock.now() >= *server->endsAt) {
      server->isUp = false;
      server->holds.clear();
      server->works.clear();
    }
  }
  for (const auto& server : servers_) {
    work(*server);
  }
}

void OwnershipServers::startAgain(ModelServer& server)
{
  ModelServer next;
  next.id = server.id;
  next.born = nextBorn_++;
  next.address = server.address;
  next.clockRate = server.clockRate;
  next.isBehindCut = server.isBehindCut;
  server = std::move(next);
  const auto entry = entries_.find(server.id);
  if (entry == entries_.end()) {
    publish(server);
  } else {
    entry->second.born = server.born;
  }
}

// The later life starts first, and the earlier one drains.
void OwnershipServers::startLaterLife(ModelServer& server)
{
  server.endsAt = play_.clock.now() + play_.extra.between(1, 8);
  auto next = std::make_unique<ModelServer>();
  next->id = server.id;
  next->born = nextBorn_++;
  next->address = "10.0.0." + std::to_string(nextAddress_++) + ":80";
  next->clockRate = server.clockRate;
  next->isBehindCut = play_.extra.probably(0.5) && server.isBehindCut;
  publish(*next);
  servers_.push_back(std::move(next));
}

void OwnershipServers::work(ModelServer& server)
{
  const base::TimePoint now = play_.clock.now();
  RandomDraws& draws = play_.basic;
  std::erase_if(server.works, [now](const ModelWork& w) { return w.until <= now; });
  if (!server.isUp || server.holds.empty() || !draws.chance(2)) {
    return;
  }
  const ModelHold& hold = server.holds[draws.below(server.holds.size())];
  if (now >= hold.until) {
    return;
  }
  base::Duration duration = draws.between(0.05, 2);
  if (play_.draws(OwnershipDraw::SecondReleaseAtOnce)) {
    duration += play_.extra.between(0, 2);
  }
  // Work that outlasts the hold is ended by the server.
  check_.onWorkBegun(servers_, server, hold.from);
  server.works.push_back({ hold.from, std::min(hold.until, now + duration) });
}

void OwnershipServers::applyGrant(ModelServer& server,
                                  const GrantOrder& order,
                                  std::uint64_t fence,
                                  base::TimePoint arrivedAt)
{
  const base::TimePoint now = play_.clock.now();
  const base::TimePoint until =
    arrivedAt + std::chrono::duration_cast<base::Duration>(grantDuration_ / server.clockRate);
  if (until <= now) {
    return;
  }
  check_.onGrantTaken(servers_, server, order, fence);
  std::erase_if(server.holds, [&](const ModelHold& hold) {
    return hold.until <= now || (hold.from >= order.from && hold.to <= order.to);
  });
  server.holds.push_back({ order.from, order.to, fence, until });
  std::uint64_t& seen = server.seen[{ order.from, order.to }];
  seen = std::max(seen, fence);
}

void OwnershipServers::applyRelease(ModelServer& server, const ReleaseOrder& order)
{
  std::vector<ModelHold> kept;
  for (const ModelHold& hold : server.holds) {
    if (hold.fence > order.fence || !overlap(hold.from, hold.to, order.from, order.to)) {
      kept.push_back(hold);
      continue;
    }
    if (hold.from < order.from) {
      kept.push_back({ hold.from, static_cast<KeyNumber>(order.from - 1), hold.fence, hold.until });
    }
    if (hold.to > order.to) {
      kept.push_back({ static_cast<KeyNumber>(order.to + 1), hold.to, hold.fence, hold.until });
    }
  }
  server.holds = std::move(kept);
  std::uint64_t& seen = server.seen[{ order.from, order.to }];
  seen = std::max(seen, order.fence);
}

bool OwnershipServers::isSuperseded(const ModelServer& server,
                                    const GrantOrder& order,
                                    std::uint64_t fence) const
{
  return std::ranges::any_of(server.seen, [&](const auto& seen) {
    return seen.second > fence &&
           overlap(seen.first.first, seen.first.second, order.from, order.to);
  });
}

bool OwnershipServers::isAtWork(const ModelServer& server, KeyNumber from, KeyNumber to) const
{
  return std::ranges::any_of(server.works, [&](const ModelWork& work) {
    return play_.clock.now() < work.until && from <= work.key && work.key <= to;
  });
}

bool OwnershipServers::holdsAny(const ModelServer& server, KeyNumber from, KeyNumber to) const
{
  return std::ranges::any_of(server.holds, [&](const ModelHold& hold) {
    return play_.clock.now() < hold.until && overlap(hold.from, hold.to, from, to);
  });
}

} // namespace sycamore::dispatch
