#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/KeyRates.h>
#include <dispatch/OwnershipRecord.h>

#include <optional>
#include <vector>

namespace sycamore::dispatch {

struct PlacementSettings
{
  // Ranges per server in the first division of the keys, dealt in turn, since busy keys lie close
  // to one another.
  unsigned rangesPerServer = 6;
  // Time to wait for servers to register before the keys are divided for the first time.
  base::Duration initialPartitionDelay = base::milliseconds(2500);
  // Time between two looks at the balance.
  base::Duration planInterval = base::milliseconds(500);
  // Time that a move must save per request moved, in times of a request's work. A move interrupts
  // its keys for a moment.
  double minSavingPerRequest = 0.4;
  // Moves at the same time, and servers for each beyond these.
  unsigned maxConcurrentMoves = 3;
  unsigned serversPerMove = 8;
  // Work of a request before it is measured.
  base::Duration assumedWork = base::milliseconds(100);
};

// A server that may own keys, with its load.
struct PlacementServer
{
  base::ServerId id;
  std::int64_t born = 0;
  base::DomainId domain;
  unsigned slots = 1;
  // Time of a request in a slot, in seconds.
  double work = 0.1;
  // Requests per second that it may get at most, such as while it is cold; 0 for no limit.
  double rateLimit = 0;
  // Requests per second on the keys that it owns.
  double rate = 0;
  // Ranges and keys that it owns.
  std::size_t ranges = 0;
  std::size_t keys = 0;
};

// Expected time of a request at a server that gets `rate` requests per second, in seconds.
double expectedTime(const PlacementServer& server, double rate);

// A part of a range that should pass to another server.
struct PlannedMove
{
  KeyNumber from = 0;
  KeyNumber to = 0;
  base::ServerId target;
};

// The first division of all keys among servers; empty without servers.
KeyRanges partitionKeys(const std::vector<PlacementServer>& servers, unsigned rangesPerServer);

// The server on which `rate` requests per second more do least harm; null without servers.
PlacementServer* leastLoaded(std::vector<PlacementServer>& servers, double rate, std::size_t keys);

// The move that saves callers most time. Nothing if none is worth it. A server without keys gets
// some in any case.
std::optional<PlannedMove> planMove(const std::vector<PlacementServer>& servers,
                                    const KeyRanges& ranges,
                                    const KeyRates& rates,
                                    const PlacementSettings& settings);

} // namespace sycamore::dispatch
