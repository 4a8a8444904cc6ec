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

constexpr auto kWarm = 5s;
constexpr auto kRestart = 330ms;
constexpr auto kColdTime = 8s;
constexpr auto kTotal = 25s;

// How the gate can learn that its server is cold.
enum class Notice
{
  // A restart, seen in the next grant answer.
  Incarnation,
  // No sign but refusals of what is beyond its limit.
  Refusals,
  // No sign but latency: it takes everything and slows down with each request beyond its limit.
  Latency
};

// One server that turns cold after some seconds under load. It then bears one request at a time,
// and linearly more over eight seconds. Grants are answered each 100 ms, load reports lag.
class ColdServer
{
public:
  ColdServer(const Scenario& scenario, Notice notice, bool limited, std::uint64_t seed)
    : scenario_(scenario)
    , notice_(notice)
    , random_(seed)
    , start_(loop_.now())
  {
    admission::ServerGateSettings settings;
    settings.slots = scenario.slots;
    settings.coldStart.assumedLatency = scenario.service;
    if (!limited) {
      settings.coldStart.coldLimit = scenario.slots;
      settings.coldStart.coldRateShare = 1e9;
      settings.backoff.reset();
    }
    gate_ = std::make_unique<admission::ServerGate>(settings, start_);
  }

  // Requests that arrived at the server while it had as many as it could bear.
  std::uint64_t run()
  {
    grant();
    arrive();
    if (notice_ == Notice::Incarnation) {
      loop_.at(start_ + kWarm, [this] { restart(); });
    }
    loop_.runUntil(start_ + kTotal + 1s);
    return beyond_;
  }

  std::uint64_t served() const { return served_; }

private:
  // The process is down for a moment; a new one refuses everything until its first grant.
  bool down() const
  {
    const base::Duration since = loop_.now() - start_ - kWarm;
    return notice_ == Notice::Incarnation && since >= 0ms && since < kRestart;
  }

  bool everCold() const { return loop_.now() >= start_ + kWarm; }

  unsigned bearable() const
  {
    if (!everCold()) {
      return scenario_.slots;
    }
    const double warm = std::chrono::duration<double>(loop_.now() - start_ - kWarm) / kColdTime;
    return 1 + static_cast<unsigned>(std::min(1.0, warm) * (scenario_.slots - 1));
  }

  void grant()
  {
    loop_.after(scenario_.hop, [this, sentAt = loop_.now()] {
      if (!down()) {
        answerGrant(sentAt);
      }
    });
    loop_.after(100ms, [this] { grant(); });
  }

  void answerGrant(base::TimePoint sentAt)
  {
    const bool restarted = notice_ == Notice::Incarnation && everCold();
    granted_ = restarted;
    const auto state =
      restarted && bearable() < scenario_.slots ? ReportedState::Cold : ReportedState::Warm;
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
    granted_ = false;
  }

  void arrive()
  {
    if (loop_.now() >= start_ + kTotal) {
      return;
    }
    const admission::WorkId work(++nextWork_);
    apply(gate_->enqueue({ work, "caller", loop_.now() + 200ms, 100, false }, loop_.now()));
    const double capacity =
      scenario_.slots / std::chrono::duration<double>(scenario_.service).count();
    loop_.after(drawGap(0.9 * capacity, random_), [this] { arrive(); });
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
    if (down()) {
      refuse(work, Reason::ConnectionLost);
      return;
    }
    if (notice_ == Notice::Incarnation && everCold() && !granted_) {
      refuse(work, Reason::NotOwner);
      return;
    }
    const bool over = inFlight_.size() >= bearable();
    beyond_ += over ? 1 : 0;
    if (over && notice_ != Notice::Latency) {
      refuse(work, Reason::Overloaded);
    } else {
      execute(work, over);
    }
  }

  void execute(admission::WorkId work, bool over)
  {
    inFlight_.insert(work);
    // A cold server is slower, and thrashes beyond its limit.
    const double excess = static_cast<double>(inFlight_.size()) / bearable();
    const double slow = (bearable() < scenario_.slots ? 2.0 : 1.0) * (over ? 5 * excess : 1.0);
    const auto took = base::Duration(static_cast<base::Duration::rep>(
      slow * static_cast<double>(drawService(scenario_, random_).count())));
    loop_.after(took, [this, work] {
      if (inFlight_.erase(work) > 0) {
        ++served_;
        finish(work, { Outcome::Ran, Reason::None });
      }
    });
  }

  void refuse(admission::WorkId work, Reason reason) { finish(work, { Outcome::NotRun, reason }); }

  // The answer takes one hop back.
  void finish(admission::WorkId work, requests::Classification result)
  {
    loop_.after(scenario_.hop, [this, work, result] {
      apply(gate_->onFinished({ work, result }, loop_.now()));
    });
  }

  const Scenario& scenario_;
  Notice notice_;
  std::mt19937_64 random_;
  EventLoop loop_;
  base::TimePoint start_;
  std::unique_ptr<admission::ServerGate> gate_;
  std::uint64_t nextWork_ = 0;
  std::set<admission::WorkId> inFlight_;
  bool granted_ = false;
  std::uint64_t beyond_ = 0;
  std::uint64_t served_ = 0;
};

void measureNotice(QualityReport& report,
                   const Scenario& scenario,
                   Notice notice,
                   const std::string& name)
{
  std::uint64_t worst = 0;
  std::uint64_t worstBaseline = 0;
  std::vector<double> served;
  std::vector<double> servedBaseline;
  for (int run = 0; run < report.runs(); ++run) {
    const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
    ColdServer limited(scenario, notice, true, seed);
    ColdServer full(scenario, notice, false, seed);
    worst = std::max(worst, limited.run());
    worstBaseline = std::max(worstBaseline, full.run());
    served.push_back(static_cast<double>(limited.served()));
    servedBaseline.push_back(static_cast<double>(full.served()));
  }
  const std::string where = scenario.name + "/" + name;
  // Without notice the first requests are the notice, so that no bound follows from the page.
  const auto bound = notice == Notice::Incarnation ? std::optional(0.0) : std::nullopt;
  report.add({ "cold_start_overload",
               where,
               static_cast<double>(worst),
               "requests",
               bound,
               "full load at once",
               static_cast<double>(worstBaseline) });
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
  measureNotice(report, scenario, Notice::Incarnation, "restart");
  measureNotice(report, scenario, Notice::Refusals, "refusals");
  measureNotice(report, scenario, Notice::Latency, "latency");
}

} // namespace sycamore::quality
