#include "Support.h"

#include <doctest/doctest.h>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;

TEST_SUITE("routing")
{
  // Guards against entry VMs that route a key to different owners or mix up answers.
  TEST_CASE("a key is served by one owner through any entry VM")
  {
    Cluster cluster({});
    Caller caller;
    std::vector<CallRecord> calls;
    for (unsigned key = 0; key < 20; ++key) {
      std::set<std::string> owners;
      for (const std::string& vm : cluster.vmIds()) {
        Call call;
        call.service = "layout";
        call.method = "reset";
        call.key = LoadGenerator::keyName(key);
        call.requestId = Caller::newRequestId();
        call.body = "key " + std::to_string(key) + " through " + vm;
        calls.push_back(caller.send(cluster.vm(vm).callerAddress(), call));
        CHECK(calls.back().isServed());
        owners.insert(calls.back().server);
      }
      CHECK(owners.size() == 1);
    }
    LoadGenerator load(cluster.balancer(), {});
    CHECK(e2e::waitServed(load, 1000, 20s));
    const auto more = load.stop();
    CHECK(load.failed() == 0);
    calls.insert(calls.end(), more.begin(), more.end());
    const auto violations = cluster.check(calls);
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }

  // Guards against a new service without servers that makes /readyz fail on every entry VM, so that
  // the balancer removes them all.
  TEST_CASE("a service without servers leaves the entry VMs ready")
  {
    Cluster cluster({ .layoutServers = 3, .labelServers = 0 });
    LoadGenerator load(cluster.balancer(), { .sendUnkeyed = false });
    CHECK(e2e::waitServed(load, 100, 10s));
  }

  // Guards against bodies, sent with or without a length, that are buffered completely in memory,
  // truncated or altered, also on an entry VM that forwards them.
  TEST_CASE("bodies of 100 MB are transferred in both directions in bounded memory")
  {
    constexpr std::size_t kSize = 100'000'000;
    // Far below the size of one body; allows for the daemon's threads and buffers.
    constexpr std::uint64_t kGrowthKb = 30'000;
    Cluster cluster({ .labelServers = 0 });
    // While the first shards are still being rebalanced, a server may refuse a key that has just
    // moved to another server.
    cluster.waitBalanced("layout");
    Caller caller;
    std::map<std::string, std::uint64_t> before;
    for (const std::string& vm : cluster.vmIds()) {
      before[vm] = cluster.vm(vm).peakMemoryKb();
    }
    std::vector<CallRecord> calls;
    for (const std::string vm : { "vm-a1", "vm-b1" }) {
      for (const bool chunked : { false, true }) {
        Call call;
        call.service = "layout";
        call.method = "plan";
        call.key = "store-1";
        call.requestId = Caller::newRequestId();
        call.patternBytes = kSize;
        call.chunked = chunked;
        call.deadline = 30s;
        calls.push_back(caller.send(cluster.vm(vm).callerAddress(), call));
        CAPTURE(chunked);
        CAPTURE(calls.back().reason);
        CAPTURE(calls.back().status);
        CAPTURE(static_cast<int>(calls.back().result));
        CHECK(calls.back().isServed());
      }
      Call down;
      down.service = "layout";
      down.method = "plan";
      down.key = "store-1";
      down.requestId = Caller::newRequestId();
      down.echoBytes = kSize;
      down.deadline = 30s;
      calls.push_back(caller.send(cluster.vm(vm).callerAddress(), down));
      CHECK(calls.back().isServed());
    }
    for (const auto& [vm, kb] : before) {
      const std::uint64_t peak = cluster.vm(vm).peakMemoryKb();
      MESSAGE(vm << ": peak memory " << kb << " kB before, " << peak << " kB after");
      CHECK(peak < kb + kGrowthKb);
    }
    const auto violations = cluster.check(calls);
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }
}
