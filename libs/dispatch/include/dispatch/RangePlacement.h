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
  // Ranges per server in the initial partition of the keys. They are assigned to the servers in
  // turn, because busy keys lie close to one another.
  unsigned rangesPerServer = 6;
  // Number of ranges from which on busy keys are spread well enough, so that servers get fewer
  // ranges each: every range costs a call per renewal.
  unsigned sufficientRanges = 1024;
  // Time to wait for servers to register before the initial partition.
  base::Duration initialPartitionDelay = base::milliseconds(2500);
  // Interval between two rounds of planning moves.
  base::Duration planInterval = base::milliseconds(500);
  // Minimum time that a move must save per moved request, as a multiple of a request's processing
  // time. The threshold exists because a move briefly interrupts the service of its keys.
  double minSavingPerRequest = 0.4;
  // Maximum number of concurrent moves. A larger deployment may have one per `serversPerMove`
  // servers.
  unsigned maxConcurrentMoves = 3;
  unsigned serversPerMove = 8;
  // Number of servers from which on hot keys are spread in one step. Single moves soon reach each
  // of fewer servers, and every further move interrupts its keys.
  std::size_t minServersToSpread = 64;
  // Minimum interval between two rounds of spreading hot keys, and the maximum number of moves that
  // one round begins.
  base::Duration spreadInterval = base::milliseconds(100);
  std::size_t maxSpreadMoves = 128;
  // Multiple of the number of ranges in the initial partition from which on adjacent ranges are
  // merged, and the one up to which hot keys may be split off. Each range costs a call per renewal
  // and some 50 bytes of the ownership record, which is one object of the store.
  double mergeFactor = 1.5;
  double maxRangesFactor = 2;
  // Processing time of a request that is assumed until it has been measured.
  base::Duration assumedWork = base::milliseconds(100);
};

// A server that may own keys, with its load.
struct PlacementServer
{
  base::ServerId id;
  std::int64_t born = 0;
  base::DomainId domain;
  unsigned slots = 1;
  // Mean processing time of a request in a slot, in seconds.
  double work = 0.1;
  // Maximum requests per second, for example during a cold start; 0 for no limit.
  double rateLimit = 0;
  // Requests per second on the keys that it owns, and those of the last fraction of a second, see
  // KeyRates.
  double rate = 0;
  double fastRate = 0;
  double currentRate = 0;
  // Number of ranges and keys that it owns.
  std::size_t ranges = 0;
  std::size_t keys = 0;
};

// Returns the requests per second that a server can run.
double capacityOf(const PlacementServer& server);

// Returns the expected time of a request at a server that gets `rate` requests per second, in
// seconds, including the wait in its queue.
double expectedTime(const PlacementServer& server, double rate);

// A range, or a part of one, that should move to another server.
struct PlannedMove
{
  KeyNumber from = 0;
  KeyNumber to = 0;
  base::ServerId target;
};

// Returns the number of ranges per server in the initial partition.
unsigned initialRangesPerServer(std::size_t servers, const PlacementSettings& settings);

// Returns the initial partition of all keys among the servers; empty without servers.
KeyRanges partitionKeys(const std::vector<PlacementServer>& servers, unsigned rangesPerServer);

// Returns the server where `rate` additional requests per second add the least total latency; null
// without servers.
PlacementServer* leastLoaded(std::vector<PlacementServer>& servers, double rate, std::size_t keys);

// Updates the load of the servers for a move of keys with this rate away from `source`.
void applyMove(std::vector<PlacementServer>& servers,
               const base::ServerId& source,
               const PlannedMove& move,
               double rate);

// Returns the move that saves callers the most time; nothing if no move saves enough. A server
// without keys gets some in any case.
std::optional<PlannedMove> planMove(const std::vector<PlacementServer>& servers,
                                    const KeyRanges& ranges,
                                    const KeyRates& rates,
                                    const PlacementSettings& settings);

} // namespace sycamore::dispatch
