#include <telemetry/BurnReport.h>
#include <telemetry/ServiceLevelRegistry.h>
#include <telemetry/TelemetryError.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace sycamore;
using namespace std::chrono_literals;
using requests::Outcome;
using requests::Reason;
using telemetry::AnswerClassification;
using telemetry::BadAnswerCause;
using telemetry::RequestSample;
using telemetry::ServiceLevelTracker;

namespace {

constexpr base::TimePoint kStart{ 100h };
const telemetry::ServiceLevelObjective kObjective{ 0.99, 50ms };
const base::ServiceId kLayout("layout");

RequestSample answer(Outcome outcome, Reason reason, base::Duration latency = 10ms)
{
  return { kLayout, outcome, reason, latency, 1, false };
}
const RequestSample kGood = answer(Outcome::Ran, Reason::None);
const RequestSample kShed = answer(Outcome::NotRun, Reason::Overloaded);

std::uint64_t badCount(const telemetry::ServiceLevelCounts& counts, BadAnswerCause cause)
{
  return counts.bad.at(static_cast<std::size_t>(cause));
}

telemetry::VmSnapshot snapshotOf(const char* vm,
                                 const ServiceLevelTracker& tracker,
                                 base::TimePoint now)
{
  return { base::VmId(vm), { { kLayout, tracker.snapshot(now) } } };
}

} // namespace

// Guards against answers at bucket boundaries that are lost or counted twice: the steps cover the
// last six hours without gap or overlap, and each window sums exactly the buckets it covers.
TEST_CASE("windows and steps count each answer once")
{
  CHECK(rc::check([] {
    ServiceLevelTracker tracker(kObjective, kStart);
    const auto offsets = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8 * 3600));
    const base::TimePoint now = kStart + 8h + std::chrono::seconds(*rc::gen::inRange(0, 20));
    const auto bucket = [](base::TimePoint time) { return time.time_since_epoch() / 10s; };
    std::array<std::uint64_t, 4> expected{};
    for (const int offset : offsets) {
      const base::TimePoint time = kStart + std::chrono::seconds(offset);
      // The times are out of order, because threads read the clock before they acquire the lock.
      tracker.recordAnswer(kShed, time);
      for (std::size_t i = 0; i < 4; ++i) {
        const auto buckets = telemetry::kBurnRateWindows.at(i).length / 10s;
        expected.at(i) += bucket(time) > bucket(now) - buckets ? 1 : 0;
      }
    }
    const auto snapshot = tracker.snapshot(now);
    std::uint64_t steps = 0;
    for (const auto& step : snapshot.steps) {
      steps += step.total();
    }
    for (std::size_t i = 0; i < 4; ++i) {
      RC_ASSERT(snapshot.windows.at(i).total() == expected.at(i));
    }
    RC_ASSERT(steps == expected[3]);
    RC_ASSERT(snapshot.period.total() == offsets.size());
  }));
}

// Guards against an answer that is classified wrongly or attributed to the wrong cause.
TEST_CASE("answers are classified by outcome, reason and latency")
{
  const auto classify = [](const RequestSample& sample, bool ownershipChanging = false) {
    return telemetry::classifyAnswer(sample, 50ms, ownershipChanging);
  };
  CHECK(classify(answer(Outcome::Ran, Reason::None, 50ms)).kind ==
        AnswerClassification::Kind::Good);
  CHECK(classify(answer(Outcome::Ran, Reason::None, 51ms)).cause == BadAnswerCause::Slow);
  for (const Reason reason : { Reason::BadRequest, Reason::InProgress, Reason::Cancelled }) {
    CHECK(classify(answer(Outcome::NotRun, reason)).kind == AnswerClassification::Kind::Excluded);
  }
  const std::pair<Reason, BadAnswerCause> causes[] = {
    { Reason::ConnectionLost, BadAnswerCause::Failover },
    { Reason::NoOwner, BadAnswerCause::Failover },
    { Reason::NotHolder, BadAnswerCause::Failover },
    { Reason::Timeout, BadAnswerCause::Slow },
    { Reason::Overloaded, BadAnswerCause::Shed },
    { Reason::Expired, BadAnswerCause::Shed },
    { Reason::RetryBudget, BadAnswerCause::Shed },
    { Reason::Cold, BadAnswerCause::ColdStart },
    { Reason::DomainOut, BadAnswerCause::DomainOut },
    { Reason::Internal, BadAnswerCause::Other }
  };
  for (const auto& [reason, cause] : causes) {
    const auto classification = classify(answer(Outcome::Unknown, reason));
    CHECK(classification.kind == AnswerClassification::Kind::Bad);
    CHECK(classification.cause == cause);
  }
  CHECK(classify(answer(Outcome::Unknown, Reason::Timeout), true).cause ==
        BadAnswerCause::Failover);
}

// Guards against an alert that fires on one window alone, and against wrong burn rates or budgets.
TEST_CASE("an alert fires only on both windows and the burn rate follows from the objective")
{
  ServiceLevelTracker tracker(kObjective, kStart);
  for (int i = 0; i < 100; ++i) {
    tracker.recordAnswer(i < 20 ? kShed : kGood, kStart);
  }
  auto snapshot = tracker.snapshot(kStart + 1min);
  CHECK(snapshot.burnRate(snapshot.windows[0]) == doctest::Approx(20));
  CHECK(snapshot.budgetLeft() == doctest::Approx(-19));
  CHECK(snapshot.observedDuration == 1min);
  CHECK(snapshot.isFiring(telemetry::kBurnRateAlerts[0]));
  snapshot = tracker.snapshot(kStart + 30min);
  CHECK(snapshot.burnRate(snapshot.windows[2]) == doctest::Approx(20));
  CHECK(!snapshot.isFiring(telemetry::kBurnRateAlerts[0]));
}

// Guards against timeouts during a move that are attributed to slowness, and against a pause of the
// process that is counted as unavailable time.
TEST_CASE("shard moves are counted and time without an owner is measured")
{
  ServiceLevelTracker tracker(kObjective, kStart);
  tracker.recordAnswer(answer(Outcome::Unknown, Reason::Timeout), kStart);
  tracker.recordOwnerlessShards(3, kStart);
  tracker.recordOwnerlessShards(3, kStart + 250ms);
  tracker.recordAnswer(answer(Outcome::Unknown, Reason::Timeout), kStart + 300ms);
  tracker.recordOwnerlessShards(0, kStart + 500ms);
  tracker.recordOwnerlessShards(0, kStart + 900ms);
  CHECK(tracker.snapshot(kStart + 1s).windows[0].unavailableMs == 500);
  tracker.recordOwnerlessShards(1, kStart + 1s);
  tracker.recordOwnerlessShards(0, kStart + 1h);
  tracker.recordMovedShards(7, kStart + 1h);
  const auto snapshot = tracker.snapshot(kStart + 1h);
  CHECK(snapshot.windows[3].unavailableMs == 10500);
  CHECK(snapshot.movedShardsLastHour() == 7);
  CHECK(badCount(snapshot.windows[3], BadAnswerCause::Slow) == 1);
  CHECK(badCount(snapshot.windows[3], BadAnswerCause::Failover) == 1);
}

// Guards against a merge that counts what several VMs observed, or a VM that is added twice, more
// than once, and against averaging where counts must be added.
TEST_CASE("snapshots of several VMs are merged after a round trip through JSON")
{
  ServiceLevelTracker a(kObjective, kStart);
  ServiceLevelTracker b(kObjective, kStart + 1min);
  const base::TimePoint now = kStart + 2min;
  for (int i = 0; i < 30; ++i) {
    a.recordLoad(base::ServerId("s1"), 1, now);
    b.recordLoad(base::ServerId("s2"), 1, now);
    a.recordAnswer(kGood, now);
  }
  b.recordAnswer(kShed, now);
  a.retainServers({ base::ServerId("s1"), base::ServerId("s2"), base::ServerId("s3") }, now);
  a.recordMovedShards(4, now);
  b.recordMovedShards(5, now);
  telemetry::BurnReport report;
  report.addMissingVm(base::VmId("vm-b"));
  report.add(telemetry::VmSnapshot::parse(snapshotOf("vm-a", a, now).toText()));
  report.add(telemetry::VmSnapshot::parse(snapshotOf("vm-b", b, now).toText()));
  report.add(snapshotOf("vm-b", b, now));
  report.addMissingVm(base::VmId("vm-<c>"));
  const auto& snapshot = report.services().at(kLayout);
  CHECK(snapshot.windows[0].good == 30);
  CHECK(snapshot.windows[0].badTotal() == 1);
  CHECK(snapshot.movedShardsLastHour() == 5);
  CHECK(snapshot.observedDuration == 2min);
  CHECK(snapshot.latencies[0].total() == 30);
  CHECK(*telemetry::imbalance(snapshot.loads, 0) == doctest::Approx(1.5));
  CHECK(report.missingVms() == std::set{ base::VmId("vm-<c>") });
  CHECK(report.table().find("missing, their requests are not counted: vm-<c>") !=
        std::string::npos);
  const auto json = nlohmann::json::parse(report.json());
  CHECK(json["services"]["layout"]["windows"]["5m"]["bad"]["shed"] == 1);
  const std::string html = report.html();
  CHECK(html.find("vm-&lt;c&gt;") != std::string::npos);
  CHECK(html.find("<script") == std::string::npos);
  CHECK(html.find("nan") == std::string::npos);
}

// Guards against a malformed snapshot of a peer that aborts the report or is read out of bounds.
TEST_CASE("malformed snapshots are refused")
{
  auto snapshot = nlohmann::json::parse(
    snapshotOf("a", ServiceLevelTracker(kObjective, kStart), kStart).toText());
  auto& layout = snapshot["services"]["layout"];
  for (const char* field : { "steps", "windows", "latencies", "period", "loads", "good_ratio" }) {
    const auto original = layout[field];
    for (const auto& wrong : { nlohmann::json{ { "s", { 1 } } }, nlohmann::json(1) }) {
      layout[field] = wrong;
      CHECK_THROWS_AS(telemetry::VmSnapshot::parse(snapshot.dump()), telemetry::TelemetryError);
    }
    layout[field] = original;
  }
  CHECK_NOTHROW(telemetry::VmSnapshot::parse(snapshot.dump()));
  CHECK_THROWS_AS(telemetry::VmSnapshot::parse("{"), telemetry::TelemetryError);
}

// Guards against counts that outlive their service, and against an unbounded number of servers.
TEST_CASE("the numbers of services and servers stay bounded")
{
  telemetry::ServiceLevelRegistry registry;
  registry.setServices({ { kLayout, kObjective } }, kStart);
  registry.recordAnswer({ base::ServiceId("x"), Outcome::Ran, {}, {}, 1, false }, kStart);
  for (int i = 0; i < 1000; ++i) {
    registry.recordLoad(kLayout, base::ServerId(std::to_string(i)), kStart);
  }
  const auto snapshot = registry.snapshot(base::VmId("a"), kStart);
  CHECK(snapshot.services.size() == 1);
  CHECK(snapshot.services.at(kLayout).loads.size() == telemetry::ServerLoads::kMaxServers);
  registry.update(kLayout, [](auto& tracker) { tracker.retainServers({}, kStart + 2h); });
  CHECK(registry.snapshot(base::VmId("a"), kStart + 2h).services.at(kLayout).loads.empty());
  registry.setServices({}, kStart);
  CHECK(registry.snapshot(base::VmId("a"), kStart).services.empty());
}

// Guards against answers of concurrent threads that are lost while snapshots are taken and services
// change.
TEST_CASE("concurrently recorded answers are all counted")
{
  constexpr int kThreads = 6;
  constexpr int kAnswersPerThread = 5000;
  telemetry::ServiceLevelRegistry registry;
  registry.setServices({ { kLayout, kObjective } }, kStart);
  std::vector<std::jthread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kAnswersPerThread; ++j) {
        registry.recordAnswer(kGood, kStart);
        registry.recordLoad(kLayout, base::ServerId("s1"), kStart);
      }
    });
  }
  for (int i = 0; i < 20; ++i) {
    registry.setServices({ { kLayout, kObjective }, { base::ServiceId(std::to_string(i)), {} } },
                         kStart);
    registry.snapshot(base::VmId("a"), kStart);
  }
  threads.clear();
  const auto snapshot = registry.snapshot(base::VmId("a"), kStart).services.at(kLayout);
  CHECK(snapshot.windows[0].good == kThreads * kAnswersPerThread);
  CHECK(snapshot.loads.at(base::ServerId("s1"))[0] == kThreads * kAnswersPerThread);
}
