#include "Telemetry.h"
#include "TelemetryControl.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <placement/ShardMapCodec.h>

using namespace sycamore;
using namespace std::chrono_literals;
using daemon::TelemetryCollector;
using daemon::TelemetryPeers;
using daemon::TelemetryRoutes;

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

// Guards against moves that are missed or counted again with each look at the same map, and against
// shards without a holder that count as served, or as lost before the VM has heard of any holder.
TEST_CASE("moves and missing owners are read from routing tables")
{
  telemetry::ServiceLevelRegistry book;
  TelemetryRoutes routes(book);
  const base::TimePoint start{ 100h };
  routes.observe(tableWith(1, "s1", ""), start - 2s);
  routes.observe(tableWith(1, "s1", ""), start - 1s);
  routes.observe(tableWith(1, "s1", "vm"), start);
  const auto moved = tableWith(2, "s2", "");
  routes.observe(moved, start + 1s);
  routes.observe(moved, start + 2s);
  routes.observe(tableWith(2, "s2", "vm"), start + 3s);
  const auto form = book.snapshot(base::VmId("vm"), start + 3s).services.at(kLayout);
  CHECK(form.movedShardsLastHour() == 1);
  CHECK(form.windows[0].unavailableMs == 2000);
  CHECK(form.loads.size() == 2);
}

// Guards against a report that leaves out a VM without saying so, takes one VM's counts for
// another's, or waits beyond its deadline.
TEST_CASE("a report merges the VMs that answer and names the others")
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
  telemetry::ServiceLevelRegistry book;
  TelemetryPeers peers;
  peers.set({ { base::VmId("vm-b"), address },
              { base::VmId("vm-c"), address },
              { base::VmId("vm-d"), "127.0.0.1:1" },
              { base::VmId("vm-e"), "" } });
  const TelemetryCollector collector(base::VmId("vm-a"), book, peers, clients);
  const base::TimePoint began = base::SteadyClock().now();
  const auto report = collector.collect(began + 2s);
  CHECK(base::SteadyClock().now() - began < 3s);
  CHECK(report.vms() == std::set{ base::VmId("vm-a"), base::VmId("vm-b") });
  CHECK(report.missingVms() ==
        std::set{ base::VmId("vm-c"), base::VmId("vm-d"), base::VmId("vm-e") });
  server.stop(base::SteadyClock().now() + 1s);
}

// Guards against a request that reaches the metrics but not the burn counts.
TEST_CASE("a record of the router is counted in metrics and burn counts")
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
  const auto form = telemetry.collect(base::SteadyClock().now() + 1s).services().at(kLayout);
  CHECK(form.windows[0].good == 1);
  CHECK(*telemetry::imbalance(form.loads, 0) == doctest::Approx(2));
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
