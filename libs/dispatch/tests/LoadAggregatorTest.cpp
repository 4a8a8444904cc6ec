#include <dispatch/LoadAggregator.h>
#include <dispatch/ServerLoad.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::ServerId kServer{ "s" };

std::map<base::ServerId, ServerUse> use(unsigned inFlight, unsigned ran = 0, unsigned totalMs = 0)
{
  return { { kServer, { inFlight, { ran, milliseconds(totalMs) } } } };
}

} // namespace

// Guards against many VMs that each send a request to a server whose queue none of them sees.
TEST_CASE("a server's queue is the sum over the VMs of the domain")
{
  base::ManualClock clock;
  LoadAggregator aggregator;
  for (int vm = 0; vm < 5; ++vm) {
    aggregator.onReport("vm-" + std::to_string(vm), use(1), clock.now());
  }
  const LoadSummary summary = aggregator.summary(clock.now());
  CHECK(summary.vms == 5);
  CHECK(summary.servers.at(kServer).inFlight == 5);
  ServerLoad load(2, milliseconds(100));
  const base::Duration before = load.expectedLatency(clock.now());
  load.onSharedLoad(5, std::nullopt, clock.now());
  CHECK(load.expectedLatency(clock.now()) >= 2 * before);
}

// Guards against a server that stays slow for each VM that hasn't tried it yet.
TEST_CASE("one VM's measurement of a slow server holds for the others, until it is outdated")
{
  base::ManualClock clock;
  LoadAggregator aggregator;
  aggregator.onReport("vm", use(0, 3, 2700), clock.now());
  const LoadSummary slow = aggregator.summary(clock.now());
  CHECK(slow.servers.at(kServer).work == milliseconds(900));
  clock.advance(seconds(20));
  CHECK(aggregator.summary(clock.now()).servers.empty());
}

// Guards against samples that are dropped because a server is used only now and then.
TEST_CASE("a single measurement counts for some seconds")
{
  base::ManualClock clock;
  LoadAggregator aggregator;
  aggregator.onReport("vm", use(0, 1, 400), clock.now());
  clock.advance(seconds(5));
  CHECK(aggregator.summary(clock.now()).servers.at(kServer).work == milliseconds(400));
}

TEST_CASE("each report replaces the VM's previous one, and a silent VM's report expires")
{
  base::ManualClock clock;
  LoadAggregator aggregator;
  aggregator.onReport("vm", use(4), clock.now());
  aggregator.onReport("vm", use(1), clock.now());
  CHECK(aggregator.summary(clock.now()).servers.at(kServer).inFlight == 1);
  clock.advance(milliseconds(1000));
  const LoadSummary summary = aggregator.summary(clock.now());
  CHECK(summary.vms == 0);
  CHECK(summary.servers.empty());
  CHECK(aggregator.reporters().empty());
}

TEST_CASE("shared load expires without updates")
{
  base::ManualClock clock;
  ServerLoad load(2, milliseconds(100));
  load.onSharedLoad(20, std::nullopt, clock.now());
  CHECK(load.occupancy(clock.now()) == 20);
  clock.advance(milliseconds(700));
  CHECK(load.occupancy(clock.now()) == 0);
}

// Guards against refusals because of a few requests that one domain happens to see.
TEST_CASE("requests of other domains are extrapolated with caution")
{
  CHECK(estimateOthersInFlight(3, 1, 1) == 2);
  CHECK(estimateOthersInFlight(1, 1, 0.2) == 0);
  CHECK(estimateOthersInFlight(2, 0, 0.2) < 5);
  CHECK(estimateOthersInFlight(100, 0, 0.2) > 400);
  CHECK(estimateOthersInFlight(0, 3, 0.2) == 0);
}
