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
constexpr auto kDeadline = 1s;
constexpr auto kTotal = 12s;

enum class Trouble
{
  // The server refuses everything for two seconds.
  Outage,
  // The server bears half of its slots for six seconds, and refuses the rest.
  Partial
};

struct Result
{
  // Attempts that the server refused, per request.
  double refused = 0;
  // Share of the requests that ran before their deadline.
  double served = 0;
};

// One server at 0.7 of its capacity. A refused request is sent again until its deadline: with a
// shared gate as soon as the gate lets it, without one after a back-off of its own.
class TroubledServer
{
public:
  TroubledServer(const Scenario& scenario, Trouble trouble, bool shared, std::uint64_t seed)
    : scenario_(scenario)
    , trouble_(trouble)
    , shared_(shared)
    , random_(seed)
    , start_(loop_.now())
    , gate_(settings(scenario, shared), start_)
  {
    gate_.onServerReport({ base::Incarnation(1), admission::ReportedState::Warm, start_ }, start_);
  }

  Result run()
  {
    arrive();
    loop_.runUntil(start_ + kTotal + 2s);
    const auto offered = static_cast<double>(nextWork_);
    return { refused_ / offered, served_ / offered };
  }

private:
  struct Request
  {
    base::TimePoint deadline;
    unsigned attempts = 0;
  };

  static admission::ServerGateSettings settings(const Scenario& scenario, bool shared)
  {
    admission::ServerGateSettings settings;
    settings.slots = scenario.slots;
    settings.queue.maxLength = 256;
    settings.coldStart.assumedLatency = scenario.service;
    if (!shared) {
      settings.backoff.reset();
    }
    return settings;
  }

  unsigned bearable() const
  {
    const base::Duration since = loop_.now() - start_ - 3s;
    if (since < 0s || since > (trouble_ == Trouble::Outage ? 2s : 6s)) {
      return scenario_.slots;
    }
    return trouble_ == Trouble::Outage ? 0 : scenario_.slots / 2;
  }

  void arrive()
  {
    if (loop_.now() >= start_ + kTotal) {
      return;
    }
    const admission::WorkId work(++nextWork_);
    requests_[work] = { loop_.now() + kDeadline, 0 };
    enqueue(work);
    const double capacity =
      scenario_.slots /
      std::chrono::duration<double>(scenario_.service + 2 * scenario_.hop).count();
    loop_.after(drawGap(0.7 * capacity, random_), [this] { arrive(); });
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
    if (running_ >= bearable()) {
      ++refused_;
      loop_.after(scenario_.hop, [this, work] { refused(work); });
      return;
    }
    ++running_;
    const base::Duration took = drawService(scenario_, random_);
    loop_.after(took, [this] { --running_; });
    loop_.after(took + scenario_.hop, [this, work] {
      served_ += loop_.now() <= requests_[work].deadline ? 1 : 0;
      apply(gate_.onFinished({ work, { Outcome::Ran, Reason::None } }, loop_.now()));
    });
  }

  void refused(admission::WorkId work)
  {
    apply(gate_.onFinished({ work, { Outcome::NotRun, Reason::Overloaded } }, loop_.now()));
    const unsigned attempts = requests_[work].attempts;
    if (attempts >= kMaxAttempts) {
      return;
    }
    if (shared_) {
      enqueue(work);
    } else {
      loop_.after(backoff_.delay(attempts, std::nullopt, random_), [this, work] { enqueue(work); });
    }
  }

  const Scenario& scenario_;
  Trouble trouble_;
  bool shared_;
  std::mt19937_64 random_;
  EventLoop loop_;
  base::TimePoint start_;
  admission::ServerGate gate_;
  requests::Backoff backoff_;
  std::unordered_map<admission::WorkId, Request> requests_;
  std::uint64_t nextWork_ = 0;
  unsigned running_ = 0;
  double refused_ = 0;
  double served_ = 0;
};

Result medianResult(const QualityReport& report,
                    const Scenario& scenario,
                    Trouble trouble,
                    bool shared)
{
  std::vector<double> refused;
  std::vector<double> served;
  for (int run = 0; run < report.runs(); ++run) {
    const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
    const Result result = TroubledServer(scenario, trouble, shared, seed).run();
    refused.push_back(result.refused);
    served.push_back(result.served);
  }
  return { median(refused), median(served) };
}

} // namespace

void measureSharedBackoff(QualityReport& report, const Scenario& scenario)
{
  for (const Trouble trouble : { Trouble::Outage, Trouble::Partial }) {
    const std::string where = scenario.name + (trouble == Trouble::Outage ? "/outage" : "/partial");
    const Result shared = medianResult(report, scenario, trouble, true);
    const Result own = medianResult(report, scenario, trouble, false);
    report.add({ "shared_backoff_refused",
                 where,
                 shared.refused,
                 "refused attempts/request",
                 {},
                 "back-off of each request",
                 own.refused });
    report.add({ "shared_backoff_served",
                 where,
                 shared.served,
                 "share of requests",
                 {},
                 "back-off of each request",
                 own.served });
  }
}

} // namespace sycamore::quality
