#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <requests/DeduplicationTable.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace sycamore;
using namespace sycamore::requests;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };
const WallTime kWall{ std::chrono::milliseconds(1'790'000'000'000) };

WallTime wallAt(base::TimePoint now)
{
  return kWall + std::chrono::floor<std::chrono::milliseconds>(now - kStart);
}

class Ids
{
public:
  std::string next(base::TimePoint now)
  {
    return Uuid7::make(wallAt(now), random_).toRequestId().value();
  }

private:
  std::mt19937_64 random_{ 7 };
};

struct Fixture
{
  Ids ids;
  DeduplicationTable table{ {}, kStart, kWall };
};

DeduplicationDecision begin(DeduplicationTable& table,
                            const std::string& id,
                            unsigned attempt,
                            base::TimePoint now,
                            base::TimePoint since = kStart)
{
  return table.begin({ id, attempt, 1, since }, now);
}

} // namespace

// Guards against ids that are parsed incorrectly: their time determines the age of a request.
TEST_CASE("a UUIDv7 round-trips and other text is refused")
{
  const auto id = Uuid7::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  REQUIRE(id.has_value());
  CHECK(id->time().time_since_epoch().count() == 1645557742000);
  CHECK(id->toRequestId().value() == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  for (const char* text : { "",
                            "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
                            "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
                            "017f22e279b0-7cc3-98c4-dc0c0c07398f0",
                            "017f22e2-79b0-7cc3-98c4-dc0c0c07398g" }) {
    CHECK_FALSE(Uuid7::parse(text).has_value());
  }
}

// Guards against a resend that runs although the first send is in progress or ran.
TEST_CASE("a resend is answered according to the outcome of the first send")
{
  auto [ids, table] = Fixture();
  const std::string id = ids.next(kStart);
  CHECK(begin(table, id, 1, kStart).verdict == DeduplicationVerdict::Run);
  CHECK(begin(table, id, 2, kStart).reason == Reason::InProgress);
  table.markRan(id, { 201, "text/plain", "licence 7" }, kStart + 1s);
  const DeduplicationDecision again = begin(table, id, 2, kStart + 1s);
  REQUIRE(again.verdict == DeduplicationVerdict::ReplayAnswer);
  CHECK(again.answer->body == "licence 7");
  CHECK(again.outcome == Outcome::Ran);
}

// Guards against a resend that runs again after a lost answer, and against discarding a late
// answer.
TEST_CASE("a resend of a request with an unknown outcome never runs")
{
  auto [ids, table] = Fixture();
  const std::string id = ids.next(kStart);
  begin(table, id, 1, kStart);
  table.markUnknown(id, kStart + 1s);
  CHECK(begin(table, id, 2, kStart + 2s).reason == Reason::ResendUnknown);
  table.markRan(id, { 200, "", "late" }, kStart + 3s);
  CHECK(begin(table, id, 3, kStart + 4s).verdict == DeduplicationVerdict::ReplayAnswer);
}

// Guards against refusing every resend of a request that provably did not run.
TEST_CASE("a resend of a request that did not run may run")
{
  auto [ids, table] = Fixture();
  const std::string id = ids.next(kStart + 6s);
  begin(table, id, 1, kStart + 6s);
  table.markNotRun(id, kStart + 6s);
  CHECK(begin(table, id, 2, kStart + 7s).verdict == DeduplicationVerdict::Run);
}

// Guards against a resend that reaches a new lease holder, or the new owner of a moved shard, and
// runs although it may have run under the previous one.
TEST_CASE("a request issued before this table was responsible does not run")
{
  auto [ids, table] = Fixture();
  CHECK(begin(table, ids.next(kStart - 10s), 1, kStart).reason == Reason::ResendUnknown);
  CHECK(begin(table, ids.next(kStart - 3s), 2, kStart).reason == Reason::ResendUnknown);
  // The caller's clock may be ahead by the allowed skew.
  CHECK(begin(table, ids.next(kStart + 4s), 2, kStart + 4s).reason == Reason::ResendUnknown);
  CHECK(begin(table, ids.next(kStart - 3s), 1, kStart).verdict == DeduplicationVerdict::Run);
  CHECK(begin(table, ids.next(kStart + 6s), 2, kStart + 6s).verdict == DeduplicationVerdict::Run);
  const base::TimePoint moved = kStart + 60s;
  CHECK(begin(table, ids.next(moved - 1s), 2, moved, moved).reason == Reason::ResendUnknown);
  CHECK(begin(table, ids.next(moved - 9s), 1, moved, moved).reason == Reason::ResendUnknown);
}

// Guards against accepting a removed id again, and against ids far in the future whose entries
// would have to be kept for long.
TEST_CASE("an id is removed only when it is too old to be accepted")
{
  auto [ids, table] = Fixture();
  const std::string id = ids.next(kStart + 4s);
  begin(table, id, 1, kStart);
  table.markRan(id, { 200, "", "x" }, kStart);
  for (int second = 1; second < 400; ++second) {
    CHECK(begin(table, id, 1, kStart + second * 1s).verdict != DeduplicationVerdict::Run);
  }
  CHECK(table.size() == 0);
  CHECK(table.answerBytes() == 0);
  const base::TimePoint now = kStart + 400s;
  CHECK(begin(table, ids.next(now + 1h), 1, now).reason == Reason::BadRequest);
}

// Guards against a full table that removes requests that callers may resend.
TEST_CASE("a full table refuses new requests as not run and keeps its entries")
{
  Ids ids;
  DeduplicationTable table({ .maxEntries = 10 }, kStart, kWall);
  std::vector<std::string> known;
  for (int i = 0; i < 10; ++i) {
    known.push_back(ids.next(kStart));
    begin(table, known.back(), 1, kStart);
    table.markUnknown(known.back(), kStart);
  }
  const DeduplicationDecision full = begin(table, ids.next(kStart), 1, kStart);
  CHECK(full.outcome == Outcome::NotRun);
  CHECK(full.reason == Reason::Overloaded);
  CHECK(full.retryAfter > 0s);
  for (const std::string& id : known) {
    CHECK(begin(table, id, 2, kStart).reason == Reason::ResendUnknown);
  }
}

// Guards against large answers that exhaust the memory of a small entry VM.
TEST_CASE("the size of stored answers is limited and their requests are still known to have run")
{
  Ids ids;
  DeduplicationTable table({ .maxAnswerBytes = 1000, .maxStoredAnswerBytes = 400 }, kStart, kWall);
  std::vector<std::string> known;
  for (int i = 0; i < 20; ++i) {
    known.push_back(ids.next(kStart));
    begin(table, known.back(), 1, kStart);
    table.markRan(known.back(), { 200, "", std::string(i == 19 ? 401 : 300, 'x') }, kStart);
    CHECK(table.answerBytes() <= 1000);
  }
  CHECK_FALSE(begin(table, known.front(), 2, kStart).answer->bodyKept);
  CHECK_FALSE(begin(table, known.back(), 2, kStart).answer->bodyKept);
  CHECK(begin(table, known[18], 2, kStart).answer->bodyKept);
}

// Guards against an id that is used for two different requests: the second would receive the answer
// of the first.
TEST_CASE("the same id with different content is a bad request")
{
  auto [ids, table] = Fixture();
  const std::string id = ids.next(kStart);
  begin(table, id, 1, kStart);
  table.markRan(id, { 200, "", "first" }, kStart);
  const DeduplicationDecision other = table.begin({ id, 1, 2, kStart }, kStart);
  CHECK(other.reason == Reason::BadRequest);
  CHECK(other.outcome == Outcome::NotRun);
}

// Guards against a second execution under any order of resends, lost answers, refusals and
// dispatcher changes, with callers' clocks off by up to the allowed skew.
TEST_CASE("no request runs twice under random resends and dispatcher changes")
{
  CHECK(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    base::TimePoint now = kStart;
    auto table =
      std::make_unique<DeduplicationTable>(DeduplicationSettings{ .maxEntries = 50 }, now, kWall);
    base::TimePoint since = now;
    std::map<std::string, int> executions;
    std::map<std::string, unsigned> sends;
    std::vector<std::string> ids;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(random() % 1500);
      if (random() % 60 == 0) {
        table = std::make_unique<DeduplicationTable>(DeduplicationSettings{}, now, wallAt(now));
        since = now;
      }
      if (ids.empty() || random() % 3 == 0) {
        const auto skew = std::chrono::milliseconds(random() % 9000) - 4500ms;
        ids.push_back(Uuid7::make(wallAt(now + skew), random).toRequestId().value());
      }
      const std::string& id =
        ids[ids.size() - 1 - random() % std::min<std::size_t>(ids.size(), 20)];
      if (begin(*table, id, ++sends[id], now, since).verdict != DeduplicationVerdict::Run) {
        continue;
      }
      const auto end = random() % 4;
      executions[id] += end == 0 ? 0 : 1;
      if (end == 0) {
        table->markNotRun(id, now);
      } else if (end == 1) {
        table->markUnknown(id, now);
      } else if (end == 2) {
        table->markRan(id, { 200, "", "x" }, now);
      }
      RC_ASSERT(executions[id] <= 1);
    }
  }));
}
