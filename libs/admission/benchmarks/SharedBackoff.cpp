#include "Measurements.h"

#include <admission/ServerGate.h>
#include <quality/EventLoop.h>
#include <requests/Backoff.h>

#include <algorithm>
#include <random>
#include <unordered_map>

namespace sycamore::quality {

namespace {

using namespace std::chrono_literals;
using admission::GateAction;
using requests::Outcome;
using requests::Reason;

constexpr unsigned kMaxAttempts = 5;
constexpr auto kRequestTimeout = 1s;
constexpr auto kLoadDuration = 12s;

enum class Fault
{
  // The server refuses everything for two seconds.
  Outage,
  // The server accepts requests for half of its slots for six seconds, and refuses the rest.
  Partial
};

struct Result
{
  // Number of attempts that the server refused, per request.
  double refused = 0;
  // Share of the requests that were answered before their deadline.
  double served = 0;
};

// One server under a load of 0.7 of its capacity. A refused request is retried until its
// deadline: with the shared back-off as soon as the gate allows it, otherwise after a back-off of
// its own.
class FaultyServer
{
public:
  FaultyServer(const Scenario& scenario, Fault fault, bool usesSharedBackoff, std::uint64_t seed)
    : scenario_(scenario)
    , fault_(fault)
    , usesSharedBackoff_(usesSharedBackoff)
    , random_(seed)
    , start_(loop_.now())
    , gate_(settings(scenario, usesSharedBackoff), start_)
  {
    gate_.onServerReport({ base::Incarnation(1), admission::ReportedState::Warm, start_ }, start_);
  }

  Result run()
  {
    arrive();
    loop_.runUntil(start_ + kLoadDuration + 2s);
    const auto offered = static_cast<double>(nextWork_);
    return { refusedAttempts_ / offered, servedRequests_ / offered };
  }

private:
  struct Request
  {
    base::TimePoint deadline;
    unsigned attempts = 0;
  };

  static admission::ServerGateSettings settings(const Scenario& scenario, bool usesSharedBackoff)
  {
    admission::ServerGateSettings settings;
    settings.slots = scenario.slots;
    settings.queue.maxLength = 256;
    settings.coldStart.assumedLatency = scenario.meanServiceTime;
    if (!usesSharedBackoff) {
      settings.backoff.reset();
    }
    return settings;
  }

  unsigned concurrencyLimit() const
  {
    const base::Duration since = loop_.now() - start_ - 3s;
    if (since < 0s || since > (fault_ == Fault::Outage ? 2s : 6s)) {
      return scenario_.slots;
    }
    return fault_ == Fault::Outage ? 0 : scenario_.slots / 2;
  }

  void arrive()
  {
    if (loop_.now() >= start_ + kLoadDuration) {
      return;
    }
    const admission::WorkId work(++nextWork_);
    requests_[work] = { loop_.now() + kRequestTimeout, 0 };
    enqueue(work);
    const double capacity =
      scenario_.slots /
      std::chrono::duration<double>(scenario_.meanServiceTime + 2 * scenario_.hop).count();
    loop_.after(drawInterarrivalTime(0.7 * capacity, random_), [this] { arrive(); });
  }

  void enqueue(admission::WorkId work)
  {
    apply(gate_.enqueue({ work, "caller", requests_[work].deadline, 100, false }, loop_.now()));
  }

  void apply(const admission::GateActions& actions)
  {
    for (const GateAction& action : actions) {
      if (action.kind == GateAction::Kind::Dispatch) {
        ++requests_[action.work].attempts;
        loop_.after(scenario_.hop, [this, work = action.work] { receive(work); });
      }
    }
    if (const auto next = gate_.nextWakeUp(loop_.now())) {
      loop_.at(std::max(*next, loop_.now() + 1us), [this] { wake(); });
    }
  }

  void wake()
  {
    const admission::GateActions actions = gate_.wake(loop_.now());
    if (!actions.empty()) {
      apply(actions);
    }
  }

  void receive(admission::WorkId work)
  {
    if (running_ >= concurrencyLimit()) {
      ++refusedAttempts_;
      loop_.after(scenario_.hop, [this, work] { onRefused(work); });
      return;
    }
    ++running_;
    const base::Duration serviceTime = drawServiceTime(scenario_, random_);
    loop_.after(serviceTime, [this] { --running_; });
    loop_.after(serviceTime + scenario_.hop, [this, work] {
      servedRequests_ += loop_.now() <= requests_[work].deadline ? 1 : 0;
      apply(gate_.onFinished({ work, { Outcome::Ran, Reason::None } }, loop_.now()));
    });
  }

  void onRefused(admission::WorkId work)
  {
    apply(gate_.onFinished({ work, { Outcome::NotRun, Reason::Overloaded } }, loop_.now()));
    const unsigned attempts = requests_[work].attempts;
    if (attempts >= kMaxAttempts) {
      return;
    }
    if (usesSharedBackoff_) {
      enqueue(work);
    } else {
      loop_.after(backoff_.delay(attempts, std::nullopt, random_), [this, work] { enqueue(work); });
    }
  }

  const Scenario& scenario_;
  Fault fault_;
  bool usesSharedBackoff_;
  std::mt19937_64 random_;
  EventLoop loop_;
  base::TimePoint start_;
  admission::ServerGate gate_;
  requests::Backoff backoff_;
  std::unordered_map<admission::WorkId, Request> requests_;
  std::uint64_t nextWork_ = 0;
  unsigned running_ = 0;
  double refusedAttempts_ = 0;
  double servedRequests_ = 0;
};

Result medianResult(const QualityReport& report,
                    const Scenario& scenario,
                    Fault fault,
                    bool usesSharedBackoff)
{
  std::vector<double> refused;
  std::vector<double> served;
  for (int run = 0; run < report.runs(); ++run) {
    const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
    const Result result = FaultyServer(scenario, fault, usesSharedBackoff, seed).run();
    refused.push_back(result.refused);
    served.push_back(result.served);
  }
  return { median(refused), median(served) };
}

} // namespace

void measureSharedBackoff(QualityReport& report, const Scenario& scenario)
{
  for (const Fault fault : { Fault::Outage, Fault::Partial }) {
    const std::string where = scenario.name + (fault == Fault::Outage ? "/outage" : "/partial");
    const Result shared = medianResult(report, scenario, fault, true);
    const Result separate = medianResult(report, scenario, fault, false);
    report.add({ "shared_backoff_refused",
                 where,
                 shared.refused,
                 "refused attempts/request",
                 {},
                 "back-off of each request",
                 separate.refused });
    report.add({ "shared_backoff_served",
                 where,
                 shared.served,
                 "share of requests",
                 {},
                 "back-off of each request",
                 separate.served });
  }
}

} // namespace sycamore::quality
