#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <requests/Quarantine.h>

#include <algorithm>
#include <random>

using namespace sycamore;
using namespace sycamore::requests;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };
const WallTime kWall{ std::chrono::milliseconds(1'790'000'000'000) };

WorkIdentity work(const std::string& id, const std::string& body)
{
  return { base::RequestId(id), base::ServiceId("label"), base::MethodId("run"), "store-1", body };
}

CrashReport crash(const std::string& server, std::vector<WorkIdentity> inFlight)
{
  return { base::ServerId(server), base::Incarnation(1), base::DomainId("a"), std::move(inFlight) };
}

std::uint64_t digestAfter(const std::vector<std::vector<QuarantineRecord>>& batches)
{
  Quarantine quarantine;
  for (const auto& batch : batches) {
    quarantine.merge(batch, kStart);
  }
  return quarantine.digest(kStart);
}

} // namespace

// Guards against a request that crashes a third server, also when it is resent under a new id, and
// against counting one crash twice when it is reported twice.
TEST_CASE("work that crashed two servers is refused under any id")
{
  Quarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.recordCrash(crash("label-1", { work("first", "x") }), kStart, kWall);
  }
  CHECK(quarantine.check(work("first", "x"), kStart) == QuarantineDecision::RunAlone);
  CHECK(quarantine.check(work("second", "x"), kStart) == QuarantineDecision::RunAlone);
  quarantine.recordCrash(crash("label-2", { work("second", "x") }), kStart, kWall);
  CHECK(quarantine.check(work("third", "x"), kStart) == QuarantineDecision::Refuse);
  CHECK(quarantine.check(work("third", "y"), kStart) == QuarantineDecision::Run);
  CHECK(quarantine.quarantined(kStart).size() == 1);
}

// Guards against quarantining a request that was only in flight together with the cause of the
// crashes, and against a suspect that crashes a third server after one crash with others in flight
// and one alone.
TEST_CASE("crashes with several requests in flight make suspects but quarantine nothing")
{
  Quarantine quarantine;
  const WorkIdentity poison = work("p", "poison");
  const WorkIdentity innocent = work("i", "innocent");
  quarantine.recordCrash(crash("label-1", { poison, innocent }), kStart, kWall);
  quarantine.recordCrash(crash("label-2", { poison, innocent }), kStart, kWall);
  CHECK(quarantine.quarantined(kStart).empty());
  CHECK(quarantine.check(innocent, kStart) == QuarantineDecision::RunAlone);
  quarantine.recordCompletion(innocent, kStart, kWall);
  CHECK(quarantine.check(innocent, kStart) == QuarantineDecision::Run);
  quarantine.recordCrash(crash("label-3", { poison }), kStart, kWall);
  CHECK(quarantine.check(poison, kStart) == QuarantineDecision::Refuse);
  quarantine.recordCrash(crash("label-4", { work("q", "q"), innocent }), kStart, kWall);
  quarantine.recordCrash(crash("label-5", { work("q", "q") }), kStart, kWall);
  CHECK(quarantine.check(work("q", "q"), kStart) == QuarantineDecision::Refuse);
}

// Guards against outdated records of a peer that make a completed or lifted request a suspect
// again.
TEST_CASE("a clearance and a lift override older records of peers")
{
  Quarantine here;
  here.recordCrash(crash("label-1", { work("a", "x") }), kStart, kWall);
  const auto old = here.records(kStart);
  here.recordCompletion(work("a", "x"), kStart, kWall);
  here.merge(old, kStart);
  CHECK(here.check(work("a", "x"), kStart) == QuarantineDecision::Run);

  Quarantine peer;
  peer.recordCrash(crash("label-1", { work("b", "y") }), kStart, kWall + 2s);
  peer.recordCrash(crash("label-2", { work("b", "y") }), kStart, kWall + 3s);
  here.merge(peer.records(kStart), kStart);
  REQUIRE(here.quarantined(kStart).size() == 2);
  // The clock of this entry VM is behind that of the peer.
  for (const QuarantineRecord& record : here.quarantined(kStart)) {
    CHECK(here.lift(record.subject, kStart, kWall));
  }
  here.merge(peer.records(kStart), kStart);
  CHECK(here.check(work("b", "y"), kStart) == QuarantineDecision::Run);
  peer.merge(here.records(kStart), kStart);
  CHECK(peer.check(work("b", "y"), kStart) == QuarantineDecision::Run);
  here.recordCrash(crash("label-3", { work("b", "y") }), kStart, kWall);
  here.recordCrash(crash("label-4", { work("b", "y") }), kStart, kWall);
  CHECK(here.check(work("b", "y"), kStart) == QuarantineDecision::Refuse);
}

// Guards against a quarantine that outlives its evidence, and against unbounded memory.
TEST_CASE("quarantines expire and the number of subjects is limited")
{
  Quarantine quarantine({ .maxSubjects = 10 });
  quarantine.recordCrash(crash("label-1", { work("p", "p") }), kStart, kWall);
  quarantine.recordCrash(crash("label-2", { work("p", "p") }), kStart, kWall);
  for (int i = 0; i < 50; ++i) {
    const std::string name = std::to_string(i);
    quarantine.recordCrash(crash(name, { work(name, name), work("z", "z") }), kStart, kWall + 1s);
  }
  CHECK(quarantine.records(kStart).size() <= 10);
  CHECK(quarantine.check(work("p", "p"), kStart) == QuarantineDecision::Refuse);
  CHECK(quarantine.check(work("p", "p"), kStart + 11min) == QuarantineDecision::Run);
  CHECK(quarantine.records(kStart + 11min).empty());
}

// Guards against entry VMs that never converge because they received records in different orders.
TEST_CASE("merging records is independent of their order and repetition")
{
  CHECK(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<std::vector<QuarantineRecord>> batches;
    for (int vm = 0; vm < 3; ++vm) {
      Quarantine quarantine;
      for (int i = 0; i < 6; ++i) {
        const std::string body = std::to_string(random() % 2);
        const WallTime wall = kWall + std::chrono::milliseconds(random() % 5);
        const auto kind = random() % 4;
        if (kind == 0) {
          quarantine.recordCompletion(work("r", body), kStart, wall);
        } else if (kind == 1) {
          quarantine.lift("id:r", kStart, wall);
        } else {
          std::vector<WorkIdentity> inFlight{ work("r", body) };
          if (random() % 2 == 0) {
            inFlight.push_back(work("s", "other"));
          }
          quarantine.recordCrash(crash(std::to_string(random() % 3), inFlight), kStart, wall);
        }
        batches.push_back(quarantine.records(kStart));
      }
    }
    const std::uint64_t expected = digestAfter(batches);
    std::shuffle(batches.begin(), batches.end(), random);
    batches.push_back(batches.front());
    RC_ASSERT(digestAfter(batches) == expected);
  }));
}
