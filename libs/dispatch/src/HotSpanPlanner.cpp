#include <dispatch/HotSpanPlanner.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace sycamore::dispatch {

namespace {

// Standard deviations by which the measured rate of a server must exceed what it can run.
constexpr double kDeviations = 1.5;
// Requests that a mean must contain: with fewer, too few servers would get the keys at first.
constexpr double kMinRequests = 16;
// Utilizations up to which servers may be filled: the lowest at which all hot keys find room.
constexpr std::array<double, 5> kUtilizations{ 0.6, 0.7, 0.8, 0.9, 0.95 };
// Requests per second below which a move doesn't pay for the interruption of its keys.
constexpr double kMinRatePerMove = 0.5;
// Requests per second below which a range counts as cold.
constexpr double kColdRate = 0.2;

// Keys of one range and bucket.
struct Segment
{
  KeyNumber from = 0;
  KeyNumber to = 0;
  // The range's first key.
  KeyNumber rangeFrom = 0;
  double rate = 0;

  double ratePerKey() const { return rate / (to - from + 1); }
};

// Returns whether a mean with this time constant shows that the server gets more than it can run.
bool exceedsCapacity(const PlacementServer& server, double rate, double meanSeconds)
{
  const double deviation = std::sqrt(rate / (2 * meanSeconds));
  return rate * meanSeconds >= kMinRequests && rate - kDeviations * deviation > capacityOf(server);
}

// The fast mean shows keys that have just become hot, the slow one a smaller excess.
bool isOverloaded(const PlacementServer& server)
{
  return exceedsCapacity(server, server.fastRate, KeyRates::kFastMeanSeconds) ||
         (exceedsCapacity(server, server.rate, KeyRates::kMeanSeconds) &&
          server.currentRate > capacityOf(server));
}

// The rate that decides on a server's room. Either mean alone would be too low after or before a
// change.
double busyRate(const PlacementServer& server)
{
  return std::max(server.rate, server.currentRate);
}

std::vector<Segment> segmentsOf(const KeyRange& range, const KeyRates& rates)
{
  std::vector<Segment> segments;
  for (unsigned at = range.from; at <= range.to;) {
    const unsigned end =
      std::min<unsigned>(range.to, (at / kKeysPerBucket + 1) * kKeysPerBucket - 1);
    const auto from = static_cast<KeyNumber>(at);
    const auto to = static_cast<KeyNumber>(end);
    segments.push_back({ from, to, range.from, rates.currentRate(from, to) });
    at = end + 1;
  }
  return segments;
}

// Assigns hot keys to the servers with the most room.
class Spreading
{
public:
  Spreading(std::vector<PlacementServer> servers, const KeyRates& rates, std::size_t maxMoves)
    : servers_(std::move(servers))
    , rates_(rates)
    , maxMoves_(maxMoves)
  {
  }

  HotSpanPlan plan(const KeyRanges& movable)
  {
    std::vector<const PlacementServer*> sources;
    for (const PlacementServer& server : servers_) {
      if (isOverloaded(server)) {
        sources.push_back(&server);
      }
    }
    if (sources.empty()) {
      return {};
    }
    std::ranges::sort(sources, std::greater<>(), &PlacementServer::currentRate);
    chooseUtilization();
    for (const PlacementServer* source : sources) {
      shed(*source, movable);
    }
    plan_.servers = receivers_.size();
    return std::move(plan_);
  }

private:
  // Chooses how far servers may be filled, and sets the room of all that may get keys.
  void chooseUtilization()
  {
    for (const double utilization : kUtilizations) {
      utilization_ = utilization;
      room_.clear();
      double room = 0;
      double excess = 0;
      for (const PlacementServer& server : servers_) {
        const double free = utilization * capacityOf(server) - busyRate(server);
        if (isOverloaded(server)) {
          excess -= std::min(0.0, free);
        } else if (free > 0 && server.rateLimit == 0) {
          room += free;
          room_.emplace(free, &server);
        }
      }
      if (room >= excess) {
        return;
      }
    }
  }

  // Moves the hottest keys of a server away until the rest fits.
  void shed(const PlacementServer& source, const KeyRanges& movable)
  {
    std::vector<Segment> segments;
    for (const KeyRange& range : movable) {
      if (range.owner == source.id) {
        std::ranges::copy(segmentsOf(range, rates_), std::back_inserter(segments));
      }
    }
    std::ranges::sort(segments, std::greater<>(), &Segment::ratePerKey);
    keptRate_ = utilization_ * capacityOf(source);
    excess_ = source.currentRate - keptRate_;
    double hot = 0;
    const auto coldest = std::ranges::find_if(segments, [&](const Segment& segment) {
      const bool isEnough = hot >= excess_;
      hot += segment.rate;
      return isEnough;
    });
    segments.erase(coldest, segments.end());
    std::ranges::sort(segments, {}, &Segment::from);
    Segment piece;
    for (const Segment& segment : segments) {
      addSegment(segment, piece);
    }
    finish(piece);
  }

  // Adds the keys of a segment to the piece as long as the server with the most room has room for
  // them, and begins another piece for another server otherwise. Keys stay with the source once it
  // has no excess, or if they can't be helped.
  void addSegment(const Segment& segment, Segment& piece)
  {
    for (unsigned at = segment.from; at <= segment.to; ++at) {
      const auto key = static_cast<KeyNumber>(at);
      const double rate = rates_.currentRate(key, key);
      const bool isAdjacent =
        piece.rate > 0 && piece.to + 1U == at && piece.rangeFrom == segment.rangeFrom;
      if (piece.rate > 0 && (!isAdjacent || piece.rate + rate > mostRoom())) {
        finish(piece);
      }
      if (excess_ <= piece.rate || room_.empty() || plan_.moves.size() == maxMoves_ ||
          mostRoom() <= 0 || (rate > mostRoom() && isAloneWith(rate))) {
        continue;
      }
      if (piece.rate == 0) {
        piece = { key, key, segment.rangeFrom, rate };
      } else {
        piece.to = key;
        piece.rate += rate;
      }
    }
  }

  // Returns whether a key with this rate brings nearly all that its owner gets. Another server
  // could do no more for it; any other key that is too hot for the room left does better elsewhere.
  bool isAloneWith(double rate) const
  {
    constexpr double kMostOfRate = 0.6;
    return rate > kMostOfRate * (excess_ + keptRate_);
  }

  double mostRoom() const { return room_.empty() ? 0 : room_.rbegin()->first; }

  void finish(Segment& piece)
  {
    if (piece.rate >= kMinRatePerMove) {
      const auto [room, target] = *room_.rbegin();
      room_.erase(std::prev(room_.end()));
      room_.emplace(room - piece.rate, target);
      plan_.moves.push_back({ piece.from, piece.to, target->id });
      plan_.keys += static_cast<std::size_t>(piece.to - piece.from) + 1;
      plan_.rate += piece.rate;
      receivers_.insert(target);
      excess_ -= piece.rate;
    }
    piece = {};
  }

  std::vector<PlacementServer> servers_;
  const KeyRates& rates_;
  std::size_t maxMoves_;
  double utilization_ = kUtilizations.front();
  // Servers that may get keys, by the requests per second that they have room for.
  std::multimap<double, const PlacementServer*> room_;
  std::set<const PlacementServer*> receivers_;
  // Requests per second that the present source keeps, and those that it still has to shed.
  double keptRate_ = 0;
  double excess_ = 0;
  HotSpanPlan plan_;
};

bool isSteady(const ManagedRange& managed)
{
  return managed.phase == RangePhase::Owned && !managed.target;
}

bool isColdFragment(const ManagedRange& managed, const KeyRates& rates)
{
  const KeyRange& range = managed.range;
  return isSteady(managed) && range.to - range.from < static_cast<int>(kKeysPerBucket) &&
         rates.rate(range.from, range.to) < kColdRate &&
         rates.fastRate(range.from, range.to) < kColdRate;
}

} // namespace

HotSpanPlan planHotSpans(const std::vector<PlacementServer>& servers,
                         const KeyRanges& movable,
                         const KeyRates& rates,
                         std::size_t maxMoves)
{
  return Spreading(servers, rates, maxMoves).plan(movable);
}

std::vector<PlannedMove> planReunion(const std::vector<PlacementServer>& servers,
                                     const ManagedRanges& ranges,
                                     const KeyRates& rates,
                                     std::size_t maxMoves)
{
  std::set<base::ServerId> receivers;
  for (const PlacementServer& server : servers) {
    if (server.rateLimit == 0) {
      receivers.insert(server.id);
    }
  }
  std::vector<PlannedMove> moves;
  // Owner of the wide range before the fragments, if it may get more keys.
  const base::ServerId* owner = nullptr;
  for (const ManagedRange& managed : ranges) {
    if (!isColdFragment(managed, rates)) {
      const bool mayReceive = isSteady(managed) && receivers.contains(managed.range.owner);
      owner = mayReceive ? &managed.range.owner : nullptr;
    } else if (owner != nullptr && managed.range.owner != *owner && moves.size() < maxMoves) {
      moves.push_back({ managed.range.from, managed.range.to, *owner });
    }
  }
  return moves;
}

} // namespace sycamore::dispatch
