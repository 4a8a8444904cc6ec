#include "Support.h"

#include <doctest/doctest.h>
#include <test_process/WaitUntil.h>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;

namespace {

// Makes the addresses unreachable from the lease holder of layout-1, checks that the keys of
// layout-1 are served again, and makes the addresses reachable again.
void checkPartitionedHolder(Cluster& cluster, const std::vector<std::string>& addresses)
{
  const std::string holder = cluster.holderOf("layout-1");
  REQUIRE_FALSE(holder.empty());
  const auto keys = e2e::keysOf(cluster, "layout-1", 4);
  REQUIRE_FALSE(keys.empty());
  LoadGenerator load(cluster.balancer(), {});
  KeyProbe probe(cluster.balancer(), keys);
  CHECK(e2e::waitServed(load, 50, 10s));
  cluster.vm(holder).setUnreachable(addresses);
  const auto recovery = probe.recoveryMs(KeyProbe::nowNs(), "", 5s);
  MESSAGE("slowest key after the partition: " << e2e::quantile(recovery, 1) << " ms");
  CHECK(e2e::quantile(recovery, 1) < 5000);
  CHECK(e2e::waitServed(load, 100, 10s));
  cluster.vm(holder).setUnreachable({});
  CHECK(e2e::waitServed(load, 100, 10s));
  auto calls = load.stop();
  const auto probed = probe.stop();
  calls.insert(calls.end(), probed.begin(), probed.end());
  const auto violations = cluster.check(calls);
  CHECK_MESSAGE(violations.empty(), describe(violations));
}

} // namespace

TEST_SUITE("cuts")
{
  // Guards against keys that stay assigned to a server which its lease holder cannot reach.
  TEST_CASE("keys are served when the lease holder cannot reach its server")
  {
    Cluster cluster({});
    checkPartitionedHolder(cluster, { cluster.server("layout-1").address() });
  }

  // Guards against a lease holder that keeps its lease without votes.
  TEST_CASE("keys are served when the lease holder cannot reach the other entry VMs")
  {
    Cluster cluster({});
    const std::string holder = cluster.holderOf("layout-1");
    std::vector<std::string> others;
    for (const std::string& vm : cluster.vmIds()) {
      if (vm != holder) {
        others.push_back(cluster.vm(vm).peerAddress());
      }
    }
    checkPartitionedHolder(cluster, others);
  }

  // Guards against a lease holder that can serve requests only while it reaches the platform.
  TEST_CASE("keys are served when the lease holder cannot reach the platform")
  {
    Cluster cluster({});
    checkPartitionedHolder(cluster, { cluster.platformAddress() });
  }

  // Guards against a partitioned failure domain that serves none of its own keys, or keys whose
  // owner is in another domain.
  TEST_CASE("a partitioned failure domain serves its own keys and the other domains theirs")
  {
    Cluster cluster({ .vmsPerDomain = 3 });
    std::map<bool, std::vector<std::string>> addressesByInDomainA;
    for (const std::string& id : cluster.vmIds()) {
      addressesByInDomainA[cluster.vm(id).options().domain == "a"].push_back(
        cluster.vm(id).peerAddress());
    }
    for (const std::string service : { "layout", "label" }) {
      for (const std::string& id : cluster.serverIds(service)) {
        const auto& server = cluster.server(id);
        addressesByInDomainA[server.options().domain == "a"].push_back(server.address());
      }
    }
    addressesByInDomainA[false].push_back(cluster.platformAddress());
    const auto keysInDomainA = e2e::keysOf(cluster, "layout-1", 3);
    const auto keysOutside = e2e::keysOf(cluster, "layout-2", 3);
    for (const std::string& id : cluster.vmIds()) {
      cluster.vm(id).setUnreachable(addressesByInDomainA[cluster.vm(id).options().domain != "a"]);
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
            if (!calls.back().isServed()) {
              return false;
            }
          }
          return true;
        },
        5s);
    };
    CHECK(serves("vm-a1", keysInDomainA));
    CHECK(serves("vm-b1", keysOutside));
    for (const std::string& id : cluster.vmIds()) {
      cluster.vm(id).setUnreachable({});
    }
    CHECK(serves("vm-b1", keysInDomainA));
    CHECK(serves("vm-a1", keysOutside));
    const auto violations = cluster.check(calls);
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }
}
