#include <telemetry/BurnBook.h>
#include <telemetry/BurnReport.h>
#include <telemetry/TelemetryError.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace sycamore;
using namespace std::chrono_literals;
using requests::Outcome;
using requests::Reason;
using telemetry::BurnCause;
using telemetry::BurnVerdict;
using telemetry::RequestSample;
using telemetry::ServiceBurn;

namespace {

constexpr base::TimePoint kStart{ 100h };
const telemetry::BurnObjective kObjective{ 0.99, 50ms };
const base::ServiceId kLayout("layout");

RequestSample answer(Outcome outcome, Reason reason, base::Duration latency = 10ms)
{
  return { kLayout, outcome, reason, latency, 1, false };
}
const RequestSample kGood = answer(Outcome::Ran, Reason::None);
const RequestSample kShed = answer(Outcome::NotRun, Reason::Overloaded);

std::uint64_t badOf(const telemetry::BurnCounts& counts, BurnCause cause)
{
  return counts.bad.at(static_cast<std::size_t>(cause));
}

telemetry::BurnForm formOf(const char* vm, const ServiceBurn& burn, base::TimePoint now)
{
  return { base::VmId(vm), { { kLayout, burn.form(now) } } };
}

} // namespace

// Guards against windows that forget or count twice at bucket borders: the steps tile the last six
// hours, and each window holds exactly the buckets it covers.
TEST_CASE("windows and steps count each answer once")
{
  CHECK(rc::check([] {
    ServiceBurn burn(kObjective, kStart);
    const auto offsets = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8 * 3600));
    const base::TimePoint now = kStart + 8h + std::chrono::seconds(*rc::gen::inRange(0, 20));
    const auto bucket = [](base::TimePoint time) { return time.time_since_epoch() / 10s; };
    std::array<std::uint64_t, 4> expected{};
    for (const int offset : offsets) {
      const base::TimePoint time = kStart + std::chrono::seconds(offset);
      // Out of order: threads read the clock before they get the lock.
      burn.recordAnswer(kShed, time);
      for (std::size_t i = 0; i < 4; ++i) {
        const auto buckets = telemetry::kBurnWindows.at(i).length / 10s;
        expected.at(i) += bucket(time) > bucket(now) - buckets ? 1 : 0;
      }
    }
    const auto form = burn.form(now);
    std::uint64_t steps = 0;
    for (const auto& step : form.steps) {
      steps += step.total();
    }
    for (std::size_t i = 0; i < 4; ++i) {
      RC_ASSERT(form.windows.at(i).total() == expected.at(i));
    }
    RC_ASSERT(steps == expected[3]);
    RC_ASSERT(form.period.total() == offsets.size());
  }));
}

// Guards against an answer that is judged or attributed wrongly.
TEST_CASE("answers are judged by outcome, reason and latency")
{
  const auto judge = [](const RequestSample& sample, bool moving = false) {
    return telemetry::judgeAnswer(sample, 50ms, moving);
  };
  CHECK(judge(answer(Outcome::Ran, Reason::None, 50ms)).kind == BurnVerdict::Kind::Good);
  CHECK(judge(answer(Outcome::Ran, Reason::None, 51ms)).cause == BurnCause::Slow);
  for (const Reason reason : { Reason::BadRequest, Reason::InProgress, Reason::Cancelled }) {
    CHECK(judge(answer(Outcome::NotRun, reason)).kind == BurnVerdict::Kind::Neither);
  }
  const std::pair<Reason, BurnCause> causes[] = {
    { Reason::ConnectionLost, BurnCause::Failover }, { Reason::NoOwner, BurnCause::Failover },
    { Reason::NotHolder, BurnCause::Failover },      { Reason::Timeout, BurnCause::Slow },
    { Reason::Overloaded, BurnCause::Shed },         { Reason::Expired, BurnCause::Shed },
    { Reason::RetryBudget, BurnCause::Shed },        { Reason::Cold, BurnCause::ColdStart },
    { Reason::DomainOut, BurnCause::DomainOut },     { Reason::Internal, BurnCause::Other }
  };
  for (const auto& [reason, cause] : causes) {
    const auto verdict = judge(answer(Outcome::Unknown, reason));
    CHECK(verdict.kind == BurnVerdict::Kind::Bad);
    CHECK(verdict.cause == cause);
  }
  CHECK(judge(answer(Outcome::Unknown, Reason::Timeout), true).cause == BurnCause::Failover);
}

// Guards against an alert on one window alone, and against wrong rates or budgets.
TEST_CASE("an alert needs both windows and the rate follows from the objective")
{
  ServiceBurn burn(kObjective, kStart);
  for (int i = 0; i < 100; ++i) {
    burn.recordAnswer(i < 20 ? kShed : kGood, kStart);
  }
  auto form = burn.form(kStart + 1min);
  CHECK(form.burnRate(form.windows[0]) == doctest::Approx(20));
  CHECK(form.budgetLeft() == doctest::Approx(-19));
  CHECK(form.observed == 1min);
  CHECK(form.isFiring(telemetry::kBurnAlerts[0]));
  form = burn.form(kStart + 30min);
  CHECK(form.burnRate(form.windows[2]) == doctest::Approx(20));
  CHECK(!form.isFiring(telemetry::kBurnAlerts[0]));
}

// Guards against timeouts of a move that count as slowness, and unavailable time that is counted
// while the process was paused.
TEST_CASE("moves and missing owners are timed")
{
  ServiceBurn burn(kObjective, kStart);
  burn.recordAnswer(answer(Outcome::Unknown, Reason::Timeout), kStart);
  burn.observeOwnerless(3, kStart);
  burn.observeOwnerless(3, kStart + 250ms);
  burn.recordAnswer(answer(Outcome::Unknown, Reason::Timeout), kStart + 300ms);
  burn.observeOwnerless(0, kStart + 500ms);
  burn.observeOwnerless(0, kStart + 900ms);
  CHECK(burn.form(kStart + 1s).windows[0].unavailableMs == 500);
  burn.observeOwnerless(1, kStart + 1s);
  burn.observeOwnerless(0, kStart + 1h);
  burn.recordMoves(7, kStart + 1h);
  const auto form = burn.form(kStart + 1h);
  CHECK(form.windows[3].unavailableMs == 10500);
  CHECK(form.churn() == 7);
  CHECK(badOf(form.windows[3], BurnCause::Slow) == 1);
  CHECK(badOf(form.windows[3], BurnCause::Failover) == 1);
}

// Guards against a merge over VMs that counts shared observations or one VM twice, or averages
// where it must add.
TEST_CASE("forms of VMs merge through JSON")
{
  ServiceBurn a(kObjective, kStart);
  ServiceBurn b(kObjective, kStart + 1min);
  const base::TimePoint now = kStart + 2min;
  for (int i = 0; i < 30; ++i) {
    a.recordLoad(base::ServerId("s1"), 1, now);
    b.recordLoad(base::ServerId("s2"), 1, now);
    a.recordAnswer(kGood, now);
  }
  b.recordAnswer(kShed, now);
  a.retainServers({ base::ServerId("s1"), base::ServerId("s2"), base::ServerId("s3") }, now);
  a.recordMoves(4, now);
  b.recordMoves(5, now);
  telemetry::BurnReport report;
  report.addMissing(base::VmId("vm-b"));
  report.add(telemetry::BurnForm::parse(formOf("vm-a", a, now).toText()));
  report.add(telemetry::BurnForm::parse(formOf("vm-b", b, now).toText()));
  report.add(formOf("vm-b", b, now));
  report.addMissing(base::VmId("vm-<c>"));
  const auto& form = report.services().at(kLayout);
  CHECK(form.windows[0].good == 30);
  CHECK(form.windows[0].badTotal() == 1);
  CHECK(form.churn() == 5);
  CHECK(form.observed == 2min);
  CHECK(form.latencies[0].total() == 30);
  CHECK(*telemetry::imbalance(form.loads, 0) == doctest::Approx(1.5));
  CHECK(report.missing() == std::set{ base::VmId("vm-<c>") });
  CHECK(report.table().find("missing, their requests are not counted: vm-<c>") !=
        std::string::npos);
  const auto json = nlohmann::json::parse(report.json());
  CHECK(json["services"]["layout"]["windows"]["5m"]["bad"]["shed"] == 1);
  const std::string html = report.html();
  CHECK(html.find("vm-&lt;c&gt;") != std::string::npos);
  CHECK(html.find("<script") == std::string::npos);
  CHECK(html.find("nan") == std::string::npos);
}

// Guards against a peer's malformed form that ends the report or is read past its end.
TEST_CASE("malformed forms are refused")
{
  auto form = nlohmann::json::parse(formOf("a", ServiceBurn(kObjective, kStart), kStart).toText());
  auto& layout = form["services"]["layout"];
  for (const char* field : { "steps", "windows", "latencies", "period", "loads", "good_ratio" }) {
    const auto saved = layout[field];
    for (const auto& wrong : { nlohmann::json{ { "s", { 1 } } }, nlohmann::json(1) }) {
      layout[field] = wrong;
      CHECK_THROWS_AS(telemetry::BurnForm::parse(form.dump()), telemetry::TelemetryError);
    }
    layout[field] = saved;
  }
  CHECK_NOTHROW(telemetry::BurnForm::parse(form.dump()));
  CHECK_THROWS_AS(telemetry::BurnForm::parse("{"), telemetry::TelemetryError);
}

// Guards against counts of deleted services that stay, and servers beyond the bound.
TEST_CASE("services and servers stay bounded")
{
  telemetry::BurnBook book;
  book.setServices({ { kLayout, kObjective } }, kStart);
  book.recordAnswer({ base::ServiceId("x"), Outcome::Ran, {}, {}, 1, false }, kStart);
  for (int i = 0; i < 1000; ++i) {
    book.recordLoad(kLayout, base::ServerId(std::to_string(i)), kStart);
  }
  const auto form = book.form(base::VmId("a"), kStart);
  CHECK(form.services.size() == 1);
  CHECK(form.services.at(kLayout).loads.size() == telemetry::ServerLoads::kMaxServers);
  book.update(kLayout, [](auto& burn) { burn.retainServers({}, kStart + 2h); });
  CHECK(book.form(base::VmId("a"), kStart + 2h).services.at(kLayout).loads.empty());
  book.setServices({}, kStart);
  CHECK(book.form(base::VmId("a"), kStart).services.empty());
}

// Guards against answers lost between threads while forms are taken and services change.
TEST_CASE("answers of many threads are all counted")
{
  constexpr int kThreads = 6;
  constexpr int kEach = 5000;
  telemetry::BurnBook book;
  book.setServices({ { kLayout, kObjective } }, kStart);
  std::vector<std::jthread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kEach; ++j) {
        book.recordAnswer(kGood, kStart);
        book.recordLoad(kLayout, base::ServerId("s1"), kStart);
      }
    });
  }
  for (int i = 0; i < 20; ++i) {
    book.setServices({ { kLayout, kObjective }, { base::ServiceId(std::to_string(i)), {} } },
                     kStart);
    book.form(base::VmId("a"), kStart);
  }
  threads.clear();
  const auto form = book.form(base::VmId("a"), kStart).services.at(kLayout);
  CHECK(form.windows[0].good == kThreads * kEach);
  CHECK(form.loads.at(base::ServerId("s1"))[0] == kThreads * kEach);
}
