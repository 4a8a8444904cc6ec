#include "Telemetry.h"
#include "ControlCountersText.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <placement/ShardMapCodec.h>

using namespace sycamore;
using namespace std::chrono_literals;
using daemon::PeerAddressTable;
using daemon::RouteObserver;
using daemon::TelemetryCollector;

namespace {

const base::ServiceId kLayout("layout");

router::RoutingTable tableWith(std::uint64_t generation, const char* owner, const char* holder)
{
  auto config = std::make_shared<configuration::ConfigSnapshot>();
  config->services[kLayout].service = kLayout;
  const auto map = placement::shardMapFromJson(
    { { "service", "layout" },
      { "generation", generation },
      { "writer", "vm/1" },
      { "shard_count", 2 },
      { "shards", { { 0, owner, nullptr, generation }, { 1, "s2", nullptr, 1 } } },
      { "overrides", nlohmann::json::array() },
      { "servers",
        { { "s1",
            { { "address", "a" },
              { "domain", "a" },
              { "voters", { "1", "2", "3" } },
              { "changed", generation } } },
          { "s2",
            { { "address", "a" },
              { "domain", "a" },
              { "voters", { "1", "2", "3" } },
              { "changed", generation } } } } } });
  router::ServiceRoute route;
  route.map = std::make_shared<const placement::ShardMap>(map);
  for (const char* id : { "s1", "s2" }) {
    route.servers[base::ServerId(id)].id = base::ServerId(id);
    route.servers[base::ServerId(id)].holder = base::VmId(holder);
  }
  return { config, { { kLayout, route } } };
}

} // namespace

// Guards against moves that are missed or counted again each time the same map is observed, and
// against shards without a holder that count as served, or as unavailable before the VM knows any
// holder.
TEST_CASE("moves and missing owners are detected in routing tables")
{
  telemetry::ServiceLevelRegistry serviceLevels;
  RouteObserver routeObserver(serviceLevels);
  const base::TimePoint start{ 100h };
  routeObserver.observe(tableWith(1, "s1", ""), start - 2s);
  routeObserver.observe(tableWith(1, "s1", ""), start - 1s);
  routeObserver.observe(tableWith(1, "s1", "vm"), start);
  const auto moved = tableWith(2, "s2", "");
  routeObserver.observe(moved, start + 1s);
  routeObserver.observe(moved, start + 2s);
  routeObserver.observe(tableWith(2, "s2", "vm"), start + 3s);
  const auto snapshot = serviceLevels.snapshot(base::VmId("vm"), start + 3s).services.at(kLayout);
  CHECK(snapshot.movedShardsLastHour() == 1);
  CHECK(snapshot.windows[0].unavailableMs == 2000);
  CHECK(snapshot.loads.size() == 2);
}

// Guards against a report that omits a VM without listing it as missing, attributes one VM's counts
// to another, or waits beyond its deadline.
TEST_CASE("a report merges the snapshots of VMs that answer and lists the others as missing")
{
  transport::FaultSwitch faults;
  transport::HttpClientPool clients({}, faults);
  router::RoutingPublisher routing;
  daemon::Telemetry other(base::VmId("vm-b"), routing, clients);
  transport::HttpServer server({}, [&](auto& request, auto& response) {
    if (!other.handlePeer(request, response)) {
      response.send(404, "", "text/plain");
    }
  });
  const std::string address = server.bind({ "127.0.0.1", 0 }).toString();
  server.start();
  telemetry::ServiceLevelRegistry serviceLevels;
  PeerAddressTable peers;
  peers.set({ { base::VmId("vm-b"), address },
              { base::VmId("vm-c"), address },
              { base::VmId("vm-d"), "127.0.0.1:1" },
              { base::VmId("vm-e"), "" } });
  const TelemetryCollector collector(base::VmId("vm-a"), serviceLevels, peers, clients);
  const base::TimePoint began = base::SteadyClock().now();
  const auto report = collector.collect(began + 2s);
  CHECK(base::SteadyClock().now() - began < 3s);
  CHECK(report.vms() == std::set{ base::VmId("vm-a"), base::VmId("vm-b") });
  CHECK(report.missingVms() ==
        std::set{ base::VmId("vm-c"), base::VmId("vm-d"), base::VmId("vm-e") });
  server.stop(base::SteadyClock().now() + 1s);
}

// Guards against a request that is counted in the metrics but not in the service-level counts.
TEST_CASE("a request record of the router is counted in metrics and service-level counts")
{
  transport::FaultSwitch faults;
  transport::HttpClientPool clients({}, faults);
  router::RoutingPublisher routing;
  routing.publish(std::make_shared<const router::RoutingTable>(tableWith(1, "s1", "vm")));
  daemon::Telemetry telemetry(base::VmId("vm-a"), routing, clients);
  telemetry.observeRoutes(base::SteadyClock().now());
  telemetry.observeKey(kLayout, base::Key("k"));
  telemetry.observeRequest(
    { kLayout, base::MethodId("plan"), requests::Outcome::Ran, {}, 200, 5ms, 1, false });
  const auto snapshot = telemetry.collect(base::SteadyClock().now() + 1s).services().at(kLayout);
  CHECK(snapshot.windows[0].good == 1);
  CHECK(*telemetry::imbalance(snapshot.loads, 0) == doctest::Approx(2));
  CHECK(telemetry.metricsText().find("sycamore_requests_total{service=\"layout\"") !=
        std::string::npos);
}

// Guards against dashboards that break because a counter was renamed.
TEST_CASE("control counters keep their names")
{
  control::ControlCounters counters;
  counters.evictions = 3;
  const std::string text = daemon::controlCountersText(counters);
  CHECK(text.find("\nsycamore_evictions_total 3\n") != std::string::npos);
  CHECK(text.find("# TYPE sycamore_vote_requests_total counter\n") != std::string::npos);
}
