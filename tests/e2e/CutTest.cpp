#include "Support.h"

#include <doctest/doctest.h>
#include <test_process/WaitUntil.h>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;

namespace {

// Cuts the holder of layout-1 off from the addresses, asks for its keys and heals the cut.
void cutHolder(Cluster& cluster, const std::vector<std::string>& addresses)
{
  const std::string holder = cluster.holderOf("layout-1");
  REQUIRE_FALSE(holder.empty());
  const auto keys = e2e::keysOf(cluster, "layout-1", 4);
  REQUIRE_FALSE(keys.empty());
  LoadGenerator load(cluster.balancer(), {});
  KeyProbe probe(cluster.balancer(), keys);
  CHECK(e2e::servesMore(load, 50, 10s));
  cluster.vm(holder).cutOff(addresses);
  const auto recovery = probe.recoveryMs(KeyProbe::nowNs(), "", 5s);
  MESSAGE("slowest key after the cut: " << e2e::quantile(recovery, 1) << " ms");
  CHECK(e2e::quantile(recovery, 1) < 5000);
  CHECK(e2e::servesMore(load, 100, 10s));
  cluster.vm(holder).cutOff({});
  CHECK(e2e::servesMore(load, 100, 10s));
  auto calls = load.stop();
  const auto probed = probe.stop();
  calls.insert(calls.end(), probed.begin(), probed.end());
  const auto violations = cluster.check(calls);
  CHECK_MESSAGE(violations.empty(), describe(violations));
}

} // namespace

TEST_SUITE("cuts")
{
  // Guards against keys that stay with a server which its holder can't reach.
  TEST_CASE("a holder cut off from its server")
  {
    Cluster cluster({});
    cutHolder(cluster, { cluster.server("layout-1").address() });
  }

  // Guards against a holder that goes on without votes.
  TEST_CASE("a holder cut off from the other entry VMs")
  {
    Cluster cluster({});
    const std::string holder = cluster.holderOf("layout-1");
    std::vector<std::string> others;
    for (const std::string& vm : cluster.vmIds()) {
      if (vm != holder) {
        others.push_back(cluster.vm(vm).peerAddress());
      }
    }
    cutHolder(cluster, others);
  }

  // Guards against a holder that needs the platform to serve.
  TEST_CASE("a holder cut off from the platform")
  {
    Cluster cluster({});
    cutHolder(cluster, { cluster.platformAddress() });
  }

  // Guards against a failure domain that serves nothing, or keys of others, while it is cut off.
  TEST_CASE("a failure domain cut off serves its own keys and the others theirs")
  {
    Cluster cluster({ .vmsPerDomain = 3 });
    std::map<bool, std::vector<std::string>> sides;
    for (const std::string& id : cluster.vmIds()) {
      sides[cluster.vm(id).options().domain == "a"].push_back(cluster.vm(id).peerAddress());
    }
    for (const std::string service : { "layout", "label" }) {
      for (const std::string& id : cluster.serverIds(service)) {
        const auto& server = cluster.server(id);
        sides[server.options().domain == "a"].push_back(server.address());
      }
    }
    sides[false].push_back(cluster.platformAddress());
    const auto inside = e2e::keysOf(cluster, "layout-1", 3);
    const auto outside = e2e::keysOf(cluster, "layout-2", 3);
    for (const std::string& id : cluster.vmIds()) {
      cluster.vm(id).cutOff(sides[cluster.vm(id).options().domain != "a"]);
    }
    Caller caller;
    std::vector<CallRecord> calls;
    const auto serves = [&](const std::string& vm, const std::vector<std::string>& keys) {
      return test_process::waitUntil(
        [&] {
          for (const std::string& key : keys) {
            Call call;
            call.service = "layout";
            call.method = "plan";
            call.key = key;
            call.requestId = Caller::newRequestId();
            call.deadline = 300ms;
            calls.push_back(caller.send(cluster.vm(vm).callerAddress(), call));
            if (!calls.back().isRan()) {
              return false;
            }
          }
          return true;
        },
        5s);
    };
    CHECK(serves("vm-a1", inside));
    CHECK(serves("vm-b1", outside));
    for (const std::string& id : cluster.vmIds()) {
      cluster.vm(id).cutOff({});
    }
    CHECK(serves("vm-b1", inside));
    CHECK(serves("vm-a1", outside));
    const auto violations = cluster.check(calls);
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }
}
