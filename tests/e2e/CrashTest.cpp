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
  // Guards against a truncated answer that the caller takes for a complete one.
  TEST_CASE("the transfer fails when a server dies in the middle of an answer")
  {
    Cluster cluster({ .layoutServers = 3, .labelServers = 0 });
    const auto keys = e2e::keysOf(cluster, "layout-1", 1);
    REQUIRE_FALSE(keys.empty());
    Caller caller;
    Call call = planCall(keys.front());
    // Too large to be sent completely before the server is killed.
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
    CHECK(record.result == transport::ExchangeResult::ConnectionLost);
  }

  // Guards against connections that stay open but no longer carry data, so that all later requests
  // sent over them wait.
  TEST_CASE("requests are served after open connections become unresponsive")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), {});
    CHECK(e2e::waitServed(load, 100, 10s));
    cluster.server("layout-1").setFaults({ { "silent_connections", true } });
    CHECK(e2e::waitServed(load, 300, 10s));
    const auto violations = cluster.check(load.stop());
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }

  // Guards against a request that crashes one server after another through retries.
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
    // Sent under another request id, the same content would count as the poison request again, so
    // this request has other content.
    const auto served = [&] {
      Call other = planCall("store-1");
      other.body = "other content";
      return caller.send(cluster.vm("vm-b1").callerAddress(), other).isServed();
    };
    CHECK(test_process::waitUntil(served, 10s));
    restartCrashed();
  }
}
