#include "Support.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <sstream>
#include <test_process/WaitUntil.h>

using namespace sycamore;
using namespace std::chrono_literals;
using namespace test_cluster;

namespace {

std::int64_t lastStartNs(const Cluster& cluster, const std::set<std::string>& servers)
{
  std::int64_t last = 0;
  for (const Execution& execution : cluster.executions()) {
    if (servers.contains(execution.server)) {
      last = std::max(last, execution.startNs);
    }
  }
  return last;
}

// Returns the milliseconds from `sinceNs` to the last start of an execution on one of the servers.
double lastStartAfterMs(const Cluster& cluster,
                        const std::set<std::string>& servers,
                        std::int64_t sinceNs)
{
  return static_cast<double>(lastStartNs(cluster, servers) - sinceNs) / 1e6;
}

double servedFraction(const std::vector<CallRecord>& calls)
{
  const auto ran = std::count_if(
    calls.begin(), calls.end(), [](const CallRecord& call) { return call.isServed(); });
  return static_cast<double>(ran) / static_cast<double>(calls.size());
}

// Lists every attempt of the requests that were never served, for the message of a failed check.
std::string describeUnserved(const std::vector<CallRecord>& calls)
{
  std::set<std::string> served;
  for (const CallRecord& call : calls) {
    if (call.isServed()) {
      served.insert(call.requestId);
    }
  }
  std::ostringstream text;
  for (const CallRecord& call : calls) {
    if (!served.contains(call.requestId)) {
      text << call.requestId << " attempt " << call.attempt << " at " << call.address << ": status "
           << call.status << " " << call.outcome << " " << call.reason << " server " << call.server
           << ", exchange " << static_cast<int>(call.result) << " after "
           << (call.receivedNs - call.sentNs) / 1'000'000 << " ms\n";
    }
  }
  return text.str();
}

} // namespace

TEST_SUITE("leaving")
{
  // Guards against new work on a draining server (I8).
  TEST_CASE("a draining server gets no new work after 2 s")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), {});
    CHECK(e2e::waitServed(load, 100, 10s));
    const std::int64_t since = KeyProbe::nowNs();
    cluster.server("layout-1").drain();
    cluster.server("label-1").drain();
    const std::int64_t until = since + 4'000'000'000;
    CHECK(test_process::waitUntil([&] { return KeyProbe::nowNs() >= until; }, 6s));
    const auto calls = load.stop();
    const double last = lastStartAfterMs(cluster, { "layout-1", "label-1" }, since);
    MESSAGE("last start on a draining server after " << last << " ms; served fraction of all sends "
                                                     << servedFraction(calls));
    CHECK(last < 2000);
    CHECK_MESSAGE(load.failed() == 0, describeUnserved(calls));
    // The journals hold only executions that started; requests that still arrived at a draining
    // server show up as refusals.
    const auto violations = cluster.check(calls);
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }

  // Guards against new work in a failure domain that operators took out of service (I4), and
  // against a domain that gets no work once it is back in service.
  TEST_CASE("a failure domain taken out gets no new work after 3 s and comes back")
  {
    Cluster cluster({});
    LoadGenerator load(cluster.balancer(), {});
    CHECK(e2e::waitServed(load, 100, 10s));
    const std::set<std::string> inside{ "layout-1", "layout-4", "label-1" };
    const std::int64_t since = KeyProbe::nowNs();
    cluster.putObject("config", "domain.a", { { "domain", "a" }, { "state", "out" } });
    const std::int64_t until = since + 5'000'000'000;
    CHECK(test_process::waitUntil([&] { return KeyProbe::nowNs() >= until; }, 7s));
    const double last = lastStartAfterMs(cluster, inside, since);
    MESSAGE("last start in the failure domain after " << last << " ms");
    CHECK(last < 3000);
    cluster.putObject("config", "domain.a", { { "domain", "a" }, { "state", "in" } });
    CHECK(test_process::waitUntil([&] { return lastStartNs(cluster, inside) > until; }, 15s));
    const auto calls = load.stop();
    MESSAGE("served fraction of all sends " << servedFraction(calls));
    CHECK_MESSAGE(load.failed() == 0, describeUnserved(calls));
    const auto violations = cluster.check(calls);
    CHECK_MESSAGE(violations.empty(), describe(violations));
  }
}
