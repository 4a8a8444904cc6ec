#include "Measurements.h"

#include <admission/ServerGate.h>
#include <quality/EventLoop.h>

#include <algorithm>
#include <random>
#include <unordered_map>

namespace sycamore::quality {

namespace {

using namespace std::chrono_literals;
using admission::GateAction;
using admission::WorkId;
using requests::Outcome;
using requests::Reason;

constexpr auto kLoadDuration = 30s;

// A server that runs every request until it completes, is cancelled or reaches its deadline, and
// that restarts every three seconds. Its dispatcher abandons some requests early, because their
// callers disconnected or their connections broke, and asks the server to cancel some of these.
class AbandonedServer
{
public:
  AbandonedServer(const Scenario& scenario, bool holdsSlots, std::uint64_t seed)
    : scenario_(scenario)
    , holdsSlots_(holdsSlots)
    , random_(seed)
    , start_(loop_.now())
    , gate_(settings(scenario), start_)
  {
  }

  // Returns the number of requests that arrived while all slots of the server were taken.
  std::uint64_t run()
  {
    grant();
    arrive();
    loop_.after(3s, [this] { restart(); });
    loop_.runUntil(start_ + kLoadDuration + 1s);
    return excessRequests_;
  }

private:
  struct Run
  {
    base::TimePoint deadline;
    std::uint64_t incarnation = 0;
    bool isOpen = true;
  };

  static admission::ServerGateSettings settings(const Scenario& scenario)
  {
    admission::ServerGateSettings settings;
    settings.slots = scenario.slots;
    settings.coldStart.assumedLatency = scenario.meanServiceTime;
    settings.coldStart.rampDuration = 500ms;
    return settings;
  }

  void grant()
  {
    const base::TimePoint sentAt = loop_.now();
    loop_.after(scenario_.hop, [this, sentAt] {
      grantedIncarnation_ = incarnation_;
      const admission::ServerReport report{ base::Incarnation(incarnation_),
                                            admission::ReportedState::Warm,
                                            sentAt };
      loop_.after(scenario_.hop,
                  [this, report] { apply(gate_.onServerReport(report, loop_.now())); });
    });
    loop_.after(100ms, [this] { grant(); });
  }

  // Breaks the connections of the old process. The new one needs a grant before it runs anything.
  void restart()
  {
    ++incarnation_;
    running_ = 0;
    for (const auto& [work, run] : runs_) {
      loop_.after(scenario_.hop, [this, id = work] { abandon(id); });
    }
    loop_.after(3s, [this] { restart(); });
  }

  void arrive()
  {
    if (loop_.now() >= start_ + kLoadDuration) {
      return;
    }
    const WorkId work(++nextWork_);
    const auto timeout = std::chrono::milliseconds(10 + random_() % 300);
    deadlines_[work] = loop_.now() + timeout;
    apply(gate_.enqueue({ work, "caller", deadlines_[work], 100, false }, loop_.now()));
    const double capacity =
      scenario_.slots / std::chrono::duration<double>(scenario_.meanServiceTime).count();
    loop_.after(drawInterarrivalTime(1.2 * capacity, random_), [this] { arrive(); });
  }

  void apply(const admission::GateActions& actions)
  {
    for (const GateAction& action : actions) {
      if (action.kind == GateAction::Kind::Dispatch) {
        dispatch(action.work);
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

  void dispatch(WorkId work)
  {
    loop_.after(scenario_.hop, [this, work] { receive(work); });
    if (random_() % 20 == 0) {
      const auto abandonAfter = std::chrono::microseconds(random_() % 6000);
      loop_.after(abandonAfter, [this, work] { abandon(work); });
    }
  }

  void receive(WorkId work)
  {
    if (grantedIncarnation_ != incarnation_) {
      loop_.after(scenario_.hop, [this, work] {
        onAnswered(work, { Outcome::NotRun, Reason::NotOwner });
      });
      return;
    }
    excessRequests_ += running_ >= scenario_.slots ? 1 : 0;
    ++running_;
    runs_[work] = { deadlines_[work], incarnation_, true };
    // One request in fifty takes 50 times as long.
    const int slowdown = random_() % 50 == 0 ? 50 : 1;
    const base::TimePoint end = loop_.now() + slowdown * drawServiceTime(scenario_, random_);
    loop_.at(std::min(end, std::max(deadlines_[work], loop_.now())),
             [this, work] { onEnded(work); });
  }

  void onEnded(WorkId work)
  {
    const auto run = runs_.find(work);
    if (run == runs_.end()) {
      return;
    }
    const bool isFromOldProcess = run->second.incarnation != incarnation_;
    running_ -= isFromOldProcess ? 0 : 1;
    runs_.erase(run);
    if (!isFromOldProcess) {
      loop_.after(scenario_.hop, [this, work] {
        onAnswered(work, { Outcome::Ran, Reason::None });
      });
    }
  }

  void onAnswered(WorkId work, const requests::Classification& result)
  {
    if (!abandoned_.contains(work)) {
      apply(gate_.onFinished({ work, result }, loop_.now()));
    }
  }

  void abandon(WorkId work)
  {
    if (!abandoned_.emplace(work, true).second) {
      return;
    }
    if (!holdsSlots_) {
      apply(gate_.onCancelConfirmed(work, loop_.now()));
      return;
    }
    apply(gate_.onAbandoned(work, loop_.now()));
    if (random_() % 2 == 0) {
      loop_.after(scenario_.hop, [this, work] { cancel(work); });
    }
  }

  // The server confirms only the cancellation of running requests: one that is still on its way
  // would run when it arrives.
  void cancel(WorkId work)
  {
    if (runs_.contains(work)) {
      onEnded(work);
      loop_.after(scenario_.hop,
                  [this, work] { apply(gate_.onCancelConfirmed(work, loop_.now())); });
    }
  }

  const Scenario& scenario_;
  bool holdsSlots_;
  std::mt19937_64 random_;
  EventLoop loop_;
  base::TimePoint start_;
  admission::ServerGate gate_;
  std::unordered_map<WorkId, base::TimePoint> deadlines_;
  std::unordered_map<WorkId, Run> runs_;
  std::unordered_map<WorkId, bool> abandoned_;
  std::uint64_t nextWork_ = 0;
  std::uint64_t incarnation_ = 1;
  std::uint64_t grantedIncarnation_ = 0;
  unsigned running_ = 0;
  std::uint64_t excessRequests_ = 0;
};

} // namespace

void measureSlots(QualityReport& report, const Scenario& scenario)
{
  std::uint64_t exceeded = 0;
  std::uint64_t baseline = 0;
  for (int run = 0; run < report.runs(); ++run) {
    const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
    exceeded += AbandonedServer(scenario, true, seed).run();
    baseline += AbandonedServer(scenario, false, seed).run();
  }
  report.add({ "slots_exceeded",
               scenario.name,
               static_cast<double>(exceeded),
               "requests",
               0,
               "slot freed when given up",
               static_cast<double>(baseline) });
}

} // namespace sycamore::quality
