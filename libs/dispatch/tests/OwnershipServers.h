#pragma once

#include "OwnershipCheck.h"
#include "OwnershipDraws.h"

#include <dispatch/FormerServers.h>
#include <dispatch/KeyCoordinator.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::dispatch {

inline bool overlap(KeyNumber from, KeyNumber to, KeyNumber a, KeyNumber b)
{
  return from <= b && a <= to;
}

struct ModelHold
{
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  base::TimePoint until;
};

struct ModelWork
{
  KeyNumber key = 0;
  base::TimePoint until;
};

// One life of a server.
struct ModelServer
{
  base::ServerId id;
  std::int64_t born = 0;
  std::string address;
  double clockRate = 1;
  bool isUp = true;
  // Another server answers at its address.
  bool isReplaced = false;
  bool isBehindCut = false;
  base::TimePoint pausedUntil{};
  base::TimePoint losesAnswersUntil{};
  // It reads new connections late up to this time.
  base::TimePoint busyUntil{};
  std::optional<base::TimePoint> startsAgainAt;
  // End of a life that still runs although a later one has started at another address.
  std::optional<base::TimePoint> endsAt;
  std::vector<ModelHold> holds;
  std::map<std::pair<KeyNumber, KeyNumber>, std::uint64_t> seen;
  std::vector<ModelWork> works;
};

// The servers of the model: they hold keys, work on them, crash, pause, drain and start again.
class OwnershipServers
{
public:
  OwnershipServers(OwnershipPlay& play, OwnershipCheck& check, base::Duration grantDuration);

  // Their entries in the store.
  const std::map<base::ServerId, BackendServer>& entries() const { return entries_; }
  const std::vector<std::unique_ptr<ModelServer>>& all() const { return servers_; }
  // Returns the servers whose entries were replaced or removed lately.
  std::vector<BackendServer> former() { return former_.servers(play_.clock.now()); }
  // Returns the server that calls for this entry reach; null if there is none.
  ModelServer* at(const BackendServer& entry);

  void disturb();
  // Lets a random server drain, or no longer, so that keys move.
  void changeDraining();
  // Ends all disturbance. The entries of servers that don't come back are removed, as the platform
  // does, and there is at least one sound server.
  void calmDown();
  // Starts servers again, ends those that are due, and begins and ends work.
  void step();

  // A grant takes effect; its lifetime counts from its arrival. Or a release does.
  void applyGrant(ModelServer& server,
                  const GrantOrder& order,
                  std::uint64_t fence,
                  base::TimePoint arrivedAt);
  void applyRelease(ModelServer& server, const ReleaseOrder& order);
  bool isSuperseded(const ModelServer& server, const GrantOrder& order, std::uint64_t fence) const;
  bool isAtWork(const ModelServer& server, KeyNumber from, KeyNumber to) const;
  bool holdsAny(const ModelServer& server, KeyNumber from, KeyNumber to) const;

private:
  bool isLargeFleet() const { return play_.draws(OwnershipDraw::LargeFleet); }
  void add();
  void disturb(ModelServer& server);
  void startAgain(ModelServer& server);
  void startLaterLife(ModelServer& server);
  void publish(const ModelServer& server);
  void work(ModelServer& server);

  OwnershipPlay& play_;
  OwnershipCheck& check_;
  base::Duration grantDuration_;
  std::vector<std::unique_ptr<ModelServer>> servers_;
  std::map<base::ServerId, BackendServer> entries_;
  std::map<base::ServerId, BackendServer> entriesBefore_;
  FormerServers former_;
  unsigned nextServer_ = 0;
  unsigned nextAddress_ = 1;
  std::int64_t nextBorn_ = 1000;
};

} // namespace sycamore::dispatch
