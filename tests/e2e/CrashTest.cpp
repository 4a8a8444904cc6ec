#include "Support.h"

#include <doctest/doctest.h>
#include <test_process/WaitUntil.h>
#include <thread>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;

namespace {

Call planCall(const std::string& key)
{
  Call call;
  call.service = "layout";
  call.method = "plan";
  call.key = key;
  call.requestId = Caller::newRequestId();
  return call;
}

} // namespace

TEST_SUITE("crashes")
{
  // Guards against a cut answer that looks whole.
  TEST_CASE("a server that dies in the middle of an answer breaks the transfer")
  {
    Cluster cluster({ .layoutServers = 3, .labelServers = 0 });
    const auto keys = e2e::keysOf(cluster, "layout-1", 1);
    REQUIRE_FALSE(keys.empty());
    Caller caller;
    Call call = planCall(keys.front());
    // Too long to be sent before the kill.
    call.echoBytes = 1'000'000'000;
    call.deadline = 20s;
    CallRecord record;
    std::thread sender([&] { record = caller.send(cluster.vm("vm-b1").callerAddress(), call); });
    const bool started = test_process::waitUntil(
      [&] { return cluster.server("layout-1").stats().at("executions").contains("ran"); }, 10s);
    cluster.server("layout-1").kill();
    sender.join();
    CHECK(started);
    CHECK_FALSE(record.isAnswered());
    CHECK(record.result == transport::ExchangeResult::Broken);
  }

  // Guards against open connections that go silent and hold up all later requests.
  TEST_CASE("requests go on after connections went silent")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), {});
    CHECK(e2e::servesMore(load, 100, 10s));
    cluster.server("layout-1").setFaults({ { "silent_connections", true } });
    CHECK(e2e::servesMore(load, 300, 10s));
    const auto violations = cluster.check(load.stop());
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }

  // Guards against a request that takes down one server after another.
  TEST_CASE("a poison request is refused after two crashes in each failure domain")
  {
    Cluster cluster({ .layoutServers = 6, .labelServers = 0 });
    Call poison = planCall("store-1");
    for (const std::string& id : cluster.serverIds("layout")) {
      cluster.server(id).setFaults({ { "crash_request_id", poison.requestId } });
    }
    Caller caller;
    std::map<std::string, unsigned> crashes;
    const auto restartCrashed = [&] {
      for (const std::string& id : cluster.serverIds("layout")) {
        if (cluster.server(id).process().waitExit(0ms)) {
          ++crashes[cluster.server(id).options().domain];
          cluster.restartServer(id);
          cluster.server(id).setFaults({ { "crash_request_id", poison.requestId } });
        }
      }
    };
    bool refused = false;
    for (int send = 0; send < 20 && !refused; ++send) {
      const auto record = caller.send(cluster.vm("vm-b1").callerAddress(), poison);
      refused = record.isAnswered() && record.reason == "quarantined";
      restartCrashed();
      ++poison.attempt;
    }
    CHECK(refused);
    for (const auto& [domain, count] : crashes) {
      CAPTURE(domain);
      CHECK(count <= 2);
    }
    // The same content under another id is the poison request sent anew.
    const auto served = [&] {
      Call other = planCall("store-1");
      other.body = "other content";
      return caller.send(cluster.vm("vm-b1").callerAddress(), other).isRan();
    };
    CHECK(test_process::waitUntil(served, 10s));
    restartCrashed();
  }
}
