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
  DeduplicationTable ledger{ {}, kStart, kWall };
};

DeduplicationDecision begin(DeduplicationTable& ledger,
                            const std::string& id,
                            unsigned attempt,
                            base::TimePoint now,
                            base::TimePoint since = kStart)
{
  return ledger.begin({ id, attempt, 1, since }, now);
}

} // namespace

// Guards against ids that are read wrongly: their time decides on the age of a request.
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

// Guards against a resend that runs a second time while or after the first one ran.
TEST_CASE("a resend is answered from the first outcome")
{
  auto [ids, ledger] = Fixture();
  const std::string id = ids.next(kStart);
  CHECK(begin(ledger, id, 1, kStart).verdict == DeduplicationVerdict::Run);
  CHECK(begin(ledger, id, 2, kStart).reason == Reason::InProgress);
  ledger.markRan(id, { 201, "text/plain", "licence 7" }, kStart + 1s);
  const DeduplicationDecision again = begin(ledger, id, 2, kStart + 1s);
  REQUIRE(again.verdict == DeduplicationVerdict::ReplayAnswer);
  CHECK(again.answer->body == "licence 7");
  CHECK(again.outcome == Outcome::Ran);
}

// Guards against a lost answer that makes a resend run again, and against losing a late answer.
TEST_CASE("a resend of a request with an unknown outcome never runs")
{
  auto [ids, ledger] = Fixture();
  const std::string id = ids.next(kStart);
  begin(ledger, id, 1, kStart);
  ledger.markUnknown(id, kStart + 1s);
  CHECK(begin(ledger, id, 2, kStart + 2s).reason == Reason::ResendUnknown);
  ledger.markRan(id, { 200, "", "late" }, kStart + 3s);
  CHECK(begin(ledger, id, 3, kStart + 4s).verdict == DeduplicationVerdict::ReplayAnswer);
}

// Guards against refusing for ever what provably did not run.
TEST_CASE("a resend of a request that did not run may run")
{
  auto [ids, ledger] = Fixture();
  const std::string id = ids.next(kStart + 6s);
  begin(ledger, id, 1, kStart + 6s);
  ledger.markNotRun(id, kStart + 6s);
  CHECK(begin(ledger, id, 2, kStart + 7s).verdict == DeduplicationVerdict::Run);
}

// Guards against a resend that reaches a new holder, or the new owner of a moved shard, and runs
// although the previous one may have run it.
TEST_CASE("a request issued before this ledger was responsible is not run")
{
  auto [ids, ledger] = Fixture();
  CHECK(begin(ledger, ids.next(kStart - 10s), 1, kStart).reason == Reason::ResendUnknown);
  CHECK(begin(ledger, ids.next(kStart - 3s), 2, kStart).reason == Reason::ResendUnknown);
  // The caller's clock may be ahead by the allowed skew.
  CHECK(begin(ledger, ids.next(kStart + 4s), 2, kStart + 4s).reason == Reason::ResendUnknown);
  CHECK(begin(ledger, ids.next(kStart - 3s), 1, kStart).verdict == DeduplicationVerdict::Run);
  CHECK(begin(ledger, ids.next(kStart + 6s), 2, kStart + 6s).verdict == DeduplicationVerdict::Run);
  const base::TimePoint moved = kStart + 60s;
  CHECK(begin(ledger, ids.next(moved - 1s), 2, moved, moved).reason == Reason::ResendUnknown);
  CHECK(begin(ledger, ids.next(moved - 9s), 1, moved, moved).reason == Reason::ResendUnknown);
}

// Guards against a forgotten id that is accepted again, and against ids far in the future that
// would have to be remembered long.
TEST_CASE("an id is forgotten only when it is too old to be accepted")
{
  auto [ids, ledger] = Fixture();
  const std::string id = ids.next(kStart + 4s);
  begin(ledger, id, 1, kStart);
  ledger.markRan(id, { 200, "", "x" }, kStart);
  for (int second = 1; second < 400; ++second) {
    CHECK(begin(ledger, id, 1, kStart + second * 1s).verdict != DeduplicationVerdict::Run);
  }
  CHECK(ledger.size() == 0);
  CHECK(ledger.answerBytes() == 0);
  const base::TimePoint now = kStart + 400s;
  CHECK(begin(ledger, ids.next(now + 1h), 1, now).reason == Reason::BadRequest);
}

// Guards against a full ledger that forgets requests that callers may resend.
TEST_CASE("a full ledger refuses new work as not run and remembers the old")
{
  Ids ids;
  DeduplicationTable ledger({ .maxEntries = 10 }, kStart, kWall);
  std::vector<std::string> known;
  for (int i = 0; i < 10; ++i) {
    known.push_back(ids.next(kStart));
    begin(ledger, known.back(), 1, kStart);
    ledger.markUnknown(known.back(), kStart);
  }
  const DeduplicationDecision full = begin(ledger, ids.next(kStart), 1, kStart);
  CHECK(full.outcome == Outcome::NotRun);
  CHECK(full.reason == Reason::Overloaded);
  CHECK(full.retryAfter > 0s);
  for (const std::string& id : known) {
    CHECK(begin(ledger, id, 2, kStart).reason == Reason::ResendUnknown);
  }
}

// Guards against large answers that exhaust the memory of a small entry VM.
TEST_CASE("answers are bounded in bytes and still known to have run")
{
  Ids ids;
  DeduplicationTable ledger({ .maxAnswerBytes = 1000, .maxStoredAnswerBytes = 400 }, kStart, kWall);
  std::vector<std::string> known;
  for (int i = 0; i < 20; ++i) {
    known.push_back(ids.next(kStart));
    begin(ledger, known.back(), 1, kStart);
    ledger.markRan(known.back(), { 200, "", std::string(i == 19 ? 401 : 300, 'x') }, kStart);
    CHECK(ledger.answerBytes() <= 1000);
  }
  CHECK_FALSE(begin(ledger, known.front(), 2, kStart).answer->bodyKept);
  CHECK_FALSE(begin(ledger, known.back(), 2, kStart).answer->bodyKept);
  CHECK(begin(ledger, known[18], 2, kStart).answer->bodyKept);
}

// Guards against an id used for two different requests: the second would get the first's answer.
TEST_CASE("the same id with other content is a bad request")
{
  auto [ids, ledger] = Fixture();
  const std::string id = ids.next(kStart);
  begin(ledger, id, 1, kStart);
  ledger.markRan(id, { 200, "", "first" }, kStart);
  const DeduplicationDecision other = ledger.begin({ id, 1, 2, kStart }, kStart);
  CHECK(other.reason == Reason::BadRequest);
  CHECK(other.outcome == Outcome::NotRun);
}

// Guards against a second execution under any order of resends, lost answers, refusals and changes
// of the dispatcher, with callers' clocks wrong by up to the allowed skew.
TEST_CASE("no request runs twice under random resends and dispatcher changes")
{
  CHECK(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    base::TimePoint now = kStart;
    auto ledger =
      std::make_unique<DeduplicationTable>(DeduplicationSettings{ .maxEntries = 50 }, now, kWall);
    base::TimePoint since = now;
    std::map<std::string, int> executions;
    std::map<std::string, unsigned> sends;
    std::vector<std::string> ids;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(random() % 1500);
      if (random() % 60 == 0) {
        ledger = std::make_unique<DeduplicationTable>(DeduplicationSettings{}, now, wallAt(now));
        since = now;
      }
      if (ids.empty() || random() % 3 == 0) {
        const auto skew = std::chrono::milliseconds(random() % 9000) - 4500ms;
        ids.push_back(Uuid7::make(wallAt(now + skew), random).toRequestId().value());
      }
      const std::string& id =
        ids[ids.size() - 1 - random() % std::min<std::size_t>(ids.size(), 20)];
      if (begin(*ledger, id, ++sends[id], now, since).verdict != DeduplicationVerdict::Run) {
        continue;
      }
      const auto end = random() % 4;
      executions[id] += end == 0 ? 0 : 1;
      if (end == 0) {
        ledger->markNotRun(id, now);
      } else if (end == 1) {
        ledger->markUnknown(id, now);
      } else if (end == 2) {
        ledger->markRan(id, { 200, "", "x" }, now);
      }
      RC_ASSERT(executions[id] <= 1);
    }
  }));
}
