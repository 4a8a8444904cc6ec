#include "Measurements.h"

#include <admission/ServerGate.h>
#include <quality/EventLoop.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace sycamore::quality {

namespace {

using namespace std::chrono_literals;
using admission::GateAction;
using admission::ReportedState;
using requests::Outcome;
using requests::Reason;

constexpr auto kWarmDuration = 5s;
constexpr auto kRestartDuration = 330ms;
constexpr auto kRampDuration = 8s;
constexpr auto kLoadDuration = 25s;

// The sign by which the gate can detect that its server is cold.
enum class ColdSign
{
  // A restart, which the next grant answer shows.
  Incarnation,
  // Only that the server refuses the requests above its limit.
  Refusals,
  // Only the latency: the server accepts all requests and slows down with each one above its limit.
  Latency
};

// One server that turns cold after some seconds under load. It then handles one request at a time,
// and linearly more over eight seconds. Grants are answered every 100 ms; load reports lag behind.
class ColdServer
{
public:
  ColdServer(const Scenario& scenario, ColdSign sign, bool limited, std::uint64_t seed)
    : scenario_(scenario)
    , sign_(sign)
    , random_(seed)
    , start_(loop_.now())
  {
    admission::ServerGateSettings settings;
    settings.slots = scenario.slots;
    settings.coldStart.assumedLatency = scenario.meanServiceTime;
    if (!limited) {
      settings.coldStart.coldLimit = scenario.slots;
      settings.coldStart.coldRateShare = 1e9;
      settings.backoff.reset();
    }
    gate_ = std::make_unique<admission::ServerGate>(settings, start_);
  }

  // Returns the number of requests that arrived while the server was at its concurrency limit.
  std::uint64_t run()
  {
    grant();
    arrive();
    if (sign_ == ColdSign::Incarnation) {
      loop_.at(start_ + kWarmDuration, [this] { restart(); });
    }
    loop_.runUntil(start_ + kLoadDuration + 1s);
    return excessRequests_;
  }

  std::uint64_t served() const { return served_; }

private:
  // Returns whether the process is restarting. The new process refuses everything until its first
  // grant.
  bool isDown() const
  {
    const base::Duration since = loop_.now() - start_ - kWarmDuration;
    return sign_ == ColdSign::Incarnation && since >= 0ms && since < kRestartDuration;
  }

  bool hasTurnedCold() const { return loop_.now() >= start_ + kWarmDuration; }

  unsigned concurrencyLimit() const
  {
    if (!hasTurnedCold()) {
      return scenario_.slots;
    }
    const double rampProgress =
      std::chrono::duration<double>(loop_.now() - start_ - kWarmDuration) / kRampDuration;
    return 1 + static_cast<unsigned>(std::min(1.0, rampProgress) * (scenario_.slots - 1));
  }

  void grant()
  {
    loop_.after(scenario_.hop, [this, sentAt = loop_.now()] {
      if (!isDown()) {
        answerGrant(sentAt);
      }
    });
    loop_.after(100ms, [this] { grant(); });
  }

  void answerGrant(base::TimePoint sentAt)
  {
    const bool restarted = sign_ == ColdSign::Incarnation && hasTurnedCold();
    isGranted_ = restarted;
    const auto state =
      restarted && concurrencyLimit() < scenario_.slots ? ReportedState::Cold : ReportedState::Warm;
    loop_.after(scenario_.hop, [=, this] {
      apply(gate_->onServerReport({ base::Incarnation(restarted ? 2 : 1), state, sentAt },
                                  loop_.now()));
    });
  }

  void restart()
  {
    for (const admission::WorkId work : inFlight_) {
      loop_.after(scenario_.hop, [this, work] { apply(gate_->onAbandoned(work, loop_.now())); });
    }
    inFlight_.clear();
    isGranted_ = false;
  }

  void arrive()
  {
    if (loop_.now() >= start_ + kLoadDuration) {
      return;
    }
    const admission::WorkId work(++nextWork_);
    apply(gate_->enqueue({ work, "caller", loop_.now() + 200ms, 100, false }, loop_.now()));
    const double capacity =
      scenario_.slots / std::chrono::duration<double>(scenario_.meanServiceTime).count();
    loop_.after(drawInterarrivalTime(0.9 * capacity, random_), [this] { arrive(); });
  }

  void apply(const admission::GateActions& actions)
  {
    for (const GateAction& action : actions) {
      if (action.kind == GateAction::Kind::Dispatch) {
        loop_.after(scenario_.hop, [this, work = action.work] { receive(work); });
      }
    }
    if (const auto next = gate_->nextWakeUp(loop_.now())) {
      loop_.at(std::max(*next, loop_.now() + 1us), [this] { wake(); });
    }
  }

  void wake()
  {
    const admission::GateActions actions = gate_->wake(loop_.now());
    if (!actions.empty()) {
      apply(actions);
    }
  }

  void receive(admission::WorkId work)
  {
    if (isDown()) {
      refuse(work, Reason::ConnectionLost);
      return;
    }
    if (sign_ == ColdSign::Incarnation && hasTurnedCold() && !isGranted_) {
      refuse(work, Reason::NotOwner);
      return;
    }
    const bool isExcess = inFlight_.size() >= concurrencyLimit();
    excessRequests_ += isExcess ? 1 : 0;
    if (isExcess && sign_ != ColdSign::Latency) {
      refuse(work, Reason::Overloaded);
    } else {
      execute(work, isExcess);
    }
  }

  void execute(admission::WorkId work, bool isExcess)
  {
    inFlight_.insert(work);
    // A cold server is slower, and its throughput collapses above its limit.
    const double excess = static_cast<double>(inFlight_.size()) / concurrencyLimit();
    const double slowdown =
      (concurrencyLimit() < scenario_.slots ? 2.0 : 1.0) * (isExcess ? 5 * excess : 1.0);
    const auto serviceTime = base::Duration(static_cast<base::Duration::rep>(
      slowdown * static_cast<double>(drawServiceTime(scenario_, random_).count())));
    loop_.after(serviceTime, [this, work] {
      if (inFlight_.erase(work) > 0) {
        ++served_;
        finish(work, { Outcome::Ran, Reason::None });
      }
    });
  }

  void refuse(admission::WorkId work, Reason reason) { finish(work, { Outcome::NotRun, reason }); }

  // The answer arrives one hop later.
  void finish(admission::WorkId work, requests::Classification result)
  {
    loop_.after(scenario_.hop, [this, work, result] {
      apply(gate_->onFinished({ work, result }, loop_.now()));
    });
  }

  const Scenario& scenario_;
  ColdSign sign_;
  std::mt19937_64 random_;
  EventLoop loop_;
  base::TimePoint start_;
  std::unique_ptr<admission::ServerGate> gate_;
  std::uint64_t nextWork_ = 0;
  std::set<admission::WorkId> inFlight_;
  bool isGranted_ = false;
  std::uint64_t excessRequests_ = 0;
  std::uint64_t served_ = 0;
};

void measureColdSign(QualityReport& report,
                     const Scenario& scenario,
                     ColdSign sign,
                     const std::string& name)
{
  std::uint64_t maxExcess = 0;
  std::uint64_t maxExcessBaseline = 0;
  std::vector<double> served;
  std::vector<double> servedBaseline;
  for (int run = 0; run < report.runs(); ++run) {
    const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
    ColdServer limited(scenario, sign, true, seed);
    ColdServer full(scenario, sign, false, seed);
    maxExcess = std::max(maxExcess, limited.run());
    maxExcessBaseline = std::max(maxExcessBaseline, full.run());
    served.push_back(static_cast<double>(limited.served()));
    servedBaseline.push_back(static_cast<double>(full.served()));
  }
  const std::string where = scenario.name + "/" + name;
  // Without a restart, the first excess requests are themselves the sign of the cold server, so the
  // target sets no bound.
  const auto bound = sign == ColdSign::Incarnation ? std::optional(0.0) : std::nullopt;
  report.add({ "cold_start_overload",
               where,
               static_cast<double>(maxExcess),
               "requests",
               bound,
               "full load at once",
               static_cast<double>(maxExcessBaseline) });
  report.add({ "cold_start_served",
               where,
               median(served),
               "requests",
               {},
               "full load at once",
               median(servedBaseline) });
}

} // namespace

void measureColdStart(QualityReport& report, const Scenario& scenario)
{
  measureColdSign(report, scenario, ColdSign::Incarnation, "restart");
  measureColdSign(report, scenario, ColdSign::Refusals, "refusals");
  measureColdSign(report, scenario, ColdSign::Latency, "latency");
}

} // namespace sycamore::quality
