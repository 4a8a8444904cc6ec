#include <dispatch/RangePlacement.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

std::size_t keyCount(const KeyRange& range)
{
  return static_cast<std::size_t>(range.to - range.from) + 1;
}

// Returns the part of a range, starting at its lower end, whose rate is closest to `wanted`. The
// part ends at a bucket boundary.
PlannedMove partWithRate(const KeyRange& range, const KeyRates& rates, double wanted)
{
  PlannedMove part{ range.from, range.to, {} };
  double sum = 0;
  for (unsigned at = range.from; at < range.to;) {
    const unsigned end =
      std::min<unsigned>(range.to, (at / kKeysPerBucket + 1) * kKeysPerBucket - 1);
    const double rate = rates.rate(static_cast<KeyNumber>(at), static_cast<KeyNumber>(end));
    if (sum > 0 && sum + rate / 2 > wanted) {
      break;
    }
    sum += rate;
    part.to = static_cast<KeyNumber>(end);
    at = end + 1;
  }
  return part;
}

// Returns the total time that the requests of a server spend there, per second.
double totalTime(const PlacementServer& server, double rate)
{
  return rate * expectedTime(server, rate);
}

// Returns the total time that one additional request adds over all requests of a server.
double marginalTime(const PlacementServer& server, double rate)
{
  constexpr double kStep = 0.5;
  return (totalTime(server, rate + kStep) - totalTime(server, rate)) / kStep;
}

// Returns the total time that callers save, per second, if `rate` requests per second move from one
// server to the other.
double saving(const PlacementServer& from, const PlacementServer& to, double rate)
{
  return totalTime(from, from.rate) - totalTime(from, from.rate - rate) + totalTime(to, to.rate) -
         totalTime(to, to.rate + rate);
}

// Returns the standard deviation of a rate that was measured with the exponential mean of KeyRates.
double rateDeviation(double rate)
{
  return std::sqrt(rate / (2 * KeyRates::kMeanSeconds));
}

// Returns the rate whose move saves the most time.
double bestRateToMove(const PlacementServer& from, const PlacementServer& to)
{
  constexpr int kSteps = 24;
  double best = 0;
  double bestSaving = 0;
  for (int i = 1; i <= kSteps; ++i) {
    const double rate = from.rate * i / kSteps;
    const double saved = saving(from, to, rate);
    if (saved > bestSaving) {
      best = rate;
      bestSaving = saved;
    }
  }
  return best;
}

// Returns a move that gives a new server the busiest server's widest range, or half of that range
// if the busiest server owns only one.
std::optional<PlannedMove> firstMoveTo(const PlacementServer& newServer,
                                       const std::vector<PlacementServer>& servers,
                                       const KeyRanges& ranges)
{
  const auto source = std::max_element(
    servers.begin(), servers.end(), [](const PlacementServer& a, const PlacementServer& b) {
      return std::pair(marginalTime(a, a.rate), a.keys) <
             std::pair(marginalTime(b, b.rate), b.keys);
    });
  const KeyRange* widest = nullptr;
  for (const KeyRange& range : ranges) {
    if (range.owner == source->id && (widest == nullptr || keyCount(range) > keyCount(*widest))) {
      widest = &range;
    }
  }
  if (widest == nullptr) {
    return std::nullopt;
  }
  PlannedMove move{ widest->from, widest->to, newServer.id };
  if (source->ranges == 1) {
    move.to = static_cast<KeyNumber>(widest->from + (widest->to - widest->from) / 2);
  }
  return move;
}

} // namespace

double capacityOf(const PlacementServer& server)
{
  const double capacity = server.slots / server.work;
  return server.rateLimit > 0 ? std::min(server.rateLimit, capacity) : capacity;
}

// Uses Sakasegawa's approximation of the waiting time in a queue with several servers. Above the
// utilization up to which the approximation is meaningful, the time grows linearly with the excess.
double expectedTime(const PlacementServer& server, double rate)
{
  constexpr double kMaxModeledUtilization = 0.95;
  constexpr double kOverloadFactor = 20;
  const double slots = server.slots;
  const double utilization = rate / capacityOf(server);
  const double bounded = std::min(utilization, kMaxModeledUtilization);
  const double wait = std::pow(bounded, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - bounded));
  const double excess = std::max(0.0, utilization - kMaxModeledUtilization) * kOverloadFactor;
  return server.work * (1 + wait + excess);
}

unsigned initialRangesPerServer(std::size_t servers, const PlacementSettings& settings)
{
  const std::size_t sufficient =
    (settings.sufficientRanges + servers - 1) / std::max<std::size_t>(1, servers);
  return std::clamp(static_cast<unsigned>(sufficient), 1U, settings.rangesPerServer);
}

KeyRanges partitionKeys(const std::vector<PlacementServer>& servers, unsigned rangesPerServer)
{
  KeyRanges ranges;
  const std::size_t count = servers.size() * rangesPerServer;
  for (std::size_t i = 0; i < count; ++i) {
    const auto first = static_cast<KeyNumber>((kLastKey + 1ULL) * i / count);
    const auto last = static_cast<KeyNumber>((kLastKey + 1ULL) * (i + 1) / count - 1);
    const PlacementServer& owner = servers[i % servers.size()];
    ranges.push_back({ first, last, owner.id, owner.born, 1 });
  }
  return ranges;
}

PlacementServer* leastLoaded(std::vector<PlacementServer>& servers, double rate, std::size_t keys)
{
  PlacementServer* best = nullptr;
  double bestCost = 0;
  for (PlacementServer& server : servers) {
    // The small term spreads keys that currently get no requests, too.
    const double cost = totalTime(server, server.rate + rate) - totalTime(server, server.rate) +
                        1e-6 * static_cast<double>(server.keys + keys);
    if (best == nullptr || cost < bestCost) {
      best = &server;
      bestCost = cost;
    }
  }
  return best;
}

void applyMove(std::vector<PlacementServer>& servers,
               const base::ServerId& source,
               const PlannedMove& move,
               double rate)
{
  const std::size_t keys = static_cast<std::size_t>(move.to - move.from) + 1;
  for (PlacementServer& server : servers) {
    if (server.id == source) {
      server.rate = std::max(0.0, server.rate - rate);
      server.keys -= std::min(server.keys, keys);
    } else if (server.id == move.target) {
      server.rate += rate;
      server.keys += keys;
      ++server.ranges;
    }
  }
}

std::optional<PlannedMove> planMove(const std::vector<PlacementServer>& servers,
                                    const KeyRanges& ranges,
                                    const KeyRates& rates,
                                    const PlacementSettings& settings)
{
  if (servers.size() < 2) {
    return std::nullopt;
  }
  for (const PlacementServer& server : servers) {
    if (server.ranges == 0) {
      return firstMoveTo(server, servers, ranges);
    }
  }
  const auto byMarginalTime = [](const PlacementServer& a, const PlacementServer& b) {
    return marginalTime(a, a.rate) < marginalTime(b, b.rate);
  };
  const auto [target, source] = std::minmax_element(servers.begin(), servers.end(), byMarginalTime);
  const double wanted = bestRateToMove(*source, *target);
  // Rates are measured over a short time. A saving counts only if it remains when the source's rate
  // is overestimated and the target's underestimated by one standard deviation.
  PlacementServer cautiousSource = *source;
  PlacementServer cautiousTarget = *target;
  cautiousSource.rate = std::max(0.0, source->rate - rateDeviation(source->rate));
  cautiousTarget.rate = target->rate + rateDeviation(target->rate);
  std::optional<PlannedMove> best;
  double bestSaving = 0;
  for (const KeyRange& range : ranges) {
    if (range.owner != source->id) {
      continue;
    }
    PlannedMove move{ range.from, range.to, target->id };
    if (rates.rate(range.from, range.to) > wanted * 1.3) {
      move = partWithRate(range, rates, wanted);
      move.target = target->id;
    }
    const double rate = std::min(cautiousSource.rate, rates.rate(move.from, move.to));
    const double saved = saving(cautiousSource, cautiousTarget, rate);
    if (saved > bestSaving && saved > rate * settings.minSavingPerRequest * source->work) {
      best = move;
      bestSaving = saved;
    }
  }
  return best;
}

} // namespace sycamore::dispatch
