#include <doctest/doctest.h>
#include <test_cluster/HistoryChecker.h>

using namespace sycamore::test_cluster;
using sycamore::transport::ExchangeResult;

namespace {

Execution makeExecution(const std::string& server,
                        const std::string& id,
                        std::int64_t start,
                        std::int64_t end,
                        std::uint64_t term = 1)
{
  Execution execution;
  execution.server = server;
  execution.requestId = id;
  execution.service = "layout";
  execution.method = "reset";
  execution.key = "store-1";
  execution.term = term;
  execution.startNs = start;
  execution.endNs = end;
  execution.outcome = "ran";
  return execution;
}

CallRecord makeCall(const std::string& id, const std::string& outcome, std::int64_t received)
{
  CallRecord call;
  call.requestId = id;
  call.service = "layout";
  call.method = "reset";
  call.result = ExchangeResult::Complete;
  call.status = 200;
  call.outcome = outcome;
  call.receivedNs = received;
  return call;
}

std::string found(const std::vector<Execution>& executions, const std::vector<CallRecord>& calls)
{
  const auto violations = HistoryChecker({ "reset" }).check(executions, calls);
  REQUIRE(violations.size() <= 1);
  return violations.empty() ? "" : violations.front().invariant;
}

} // namespace

// Guards against a checker that reports correct histories, so that its findings would be ignored.
TEST_CASE("a correct history has no violations")
{
  auto aborted = makeExecution("s1", "r-4", 100, 190, 2);
  aborted.outcome = "aborted";
  auto lost = makeExecution("s1", "r-5", 110, 0, 2);
  lost.outcome = "running";
  const std::vector<Execution> executions{ makeExecution("s1", "r-1", 10, 20),
                                           makeExecution("s1", "r-2", 15, 30),
                                           aborted,
                                           lost,
                                           makeExecution("s2", "r-3", 120, 140) };
  CHECK(found(executions,
              { makeCall("r-1", "ran", 25),
                makeCall("r-4", "unknown", 200),
                makeCall("r-6", "not-run", 50),
                // Refused at first, executed by a resend.
                makeCall("r-3", "not-run", 90) }) == "");
}

// Guards against a checker that misses two owners of a key.
TEST_CASE("committed executions of a key that overlap on two servers are reported")
{
  CHECK(found({ makeExecution("s1", "r-1", 10, 30), makeExecution("s2", "r-2", 20, 40) }, {}) ==
        "I1");
  // A short execution in between must not hide the overlap with the long one.
  const std::vector<Execution> hidden{ makeExecution("s1", "r-1", 10, 90),
                                       makeExecution("s1", "r-2", 11, 12),
                                       makeExecution("s2", "r-3", 50, 60) };
  CHECK(found(hidden, {}) == "I1");
}

// Guards against a checker that misses a server which still accepts work of a previous lease
// holder.
TEST_CASE("an execution of an old term after one of a newer term is reported")
{
  CHECK(found({ makeExecution("s1", "r-1", 10, 20, 2), makeExecution("s1", "r-2", 30, 40, 1) },
              {}) == "I1");
}

// Guards against a checker that misses duplicate executions, also on a single server.
TEST_CASE("a non-idempotent request committed twice is reported")
{
  CHECK(found({ makeExecution("s1", "r-1", 10, 20), makeExecution("s1", "r-1", 30, 40) }, {}) ==
        "I7");
  auto plan = makeExecution("s1", "r-1", 10, 20);
  plan.method = "plan";
  auto again = makeExecution("s1", "r-1", 30, 40);
  again.method = "plan";
  CHECK(found({ plan, again }, {}) == "");
}

// Guards against a checker that does not verify refusals.
TEST_CASE("a refusal of a request that was executed is reported")
{
  CHECK(found({ makeExecution("s1", "r-1", 10, 20) }, { makeCall("r-1", "not-run", 30) }) == "I6");
  auto lost = makeExecution("s1", "r-1", 10, 0);
  lost.outcome = "running";
  CHECK(found({ lost }, { makeCall("r-1", "not-run", 30) }) == "I6");
}

// Guards against a checker that does not verify successful answers.
TEST_CASE("an answer without an execution or with the wrong content is reported")
{
  CHECK(found({}, { makeCall("r-1", "ran", 30) }) == "I6");
  auto crossed = makeCall("r-1", "ran", 30);
  crossed.mismatch = "the body belongs to request r-2";
  CHECK(found({ makeExecution("s1", "r-1", 10, 20) }, { crossed }) == "I5");
}
