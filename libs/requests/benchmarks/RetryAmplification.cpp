#include "Measurements.h"

#include <quality/EventLoop.h>
#include <requests/Backoff.h>
#include <requests/HedgePolicy.h>
#include <requests/RetryPolicy.h>

#include <array>
#include <random>

namespace sycamore::quality {

namespace {

using namespace std::chrono_literals;
using requests::Outcome;
using requests::Reason;

constexpr unsigned kMaxAttempts = 3;
constexpr std::size_t kFailureSeconds = 10;

// Entry VMs that receive the requests of one service and retry them. At first all servers succeed,
// then all fail.
class FailingFleet
{
public:
  FailingFleet(const Scenario& scenario, int servers, bool useBudget, std::uint64_t seed)
    : scenario_(scenario)
    , useBudget_(useBudget)
    , random_(seed)
    , requestsPerSecond_(0.5 * servers * scenario.slots /
                         std::chrono::duration<double>(scenario.meanServiceTime).count())
    , budgets_(static_cast<std::size_t>(scenario.entryVms))
    , hedges_(static_cast<std::size_t>(scenario.entryVms))
  {
  }

  // Returns the attempts per request in the worst of the ten seconds of failure.
  double run()
  {
    const base::TimePoint start = loop_.now();
    failFrom_ = start + 10s;
    end_ = failFrom_ + std::chrono::seconds(kFailureSeconds);
    arrive();
    loop_.runUntil(end_ + 2s);
    double worst = 0;
    for (std::size_t second = 0; second < kFailureSeconds; ++second) {
      worst = std::max(worst, attempts_[second] / requests_[second]);
    }
    return worst;
  }

private:
  void count(std::array<double, kFailureSeconds>& counts, base::TimePoint at)
  {
    const auto second = (at - failFrom_) / 1s;
    if (at >= failFrom_ && second < static_cast<std::int64_t>(kFailureSeconds)) {
      ++counts[static_cast<std::size_t>(second)];
    }
  }

  void arrive()
  {
    if (loop_.now() >= end_) {
      return;
    }
    count(requests_, loop_.now());
    attempt(random_() % budgets_.size(), 1, loop_.now() + 1s);
    loop_.after(drawInterarrivalTime(requestsPerSecond_, random_), [this] { arrive(); });
  }

  void attempt(std::size_t vm, unsigned number, base::TimePoint deadline)
  {
    const base::TimePoint sentAt = loop_.now();
    const bool fails = sentAt >= failFrom_;
    count(attempts_, sentAt);
    const base::Duration attemptDuration = 2 * scenario_.hop + drawServiceTime(scenario_, random_);
    if (useBudget_ && fails && number == 1) {
      // A failing server may also answer slowly, which is the worst case for hedges.
      const auto hedgeAt = hedges_[vm].hedgeAt(true, sentAt, deadline);
      if (hedgeAt && *hedgeAt <= sentAt + attemptDuration) {
        loop_.at(*hedgeAt, [this, vm] { hedge(vm); });
      }
    }
    loop_.after(attemptDuration,
                [=, this] { onAttemptEnded(vm, number, deadline, fails, attemptDuration); });
  }

  void hedge(std::size_t vm)
  {
    if (hedges_[vm].tryHedge(loop_.now())) {
      count(attempts_, loop_.now());
    }
  }

  void onAttemptEnded(std::size_t vm,
                      unsigned number,
                      base::TimePoint deadline,
                      bool failed,
                      base::Duration attemptDuration)
  {
    if (!failed) {
      budgets_[vm].recordSuccess(loop_.now());
      hedges_[vm].recordSuccess(attemptDuration, loop_.now());
      return;
    }
    const base::Duration delay = backoff_.delay(number, std::nullopt, random_);
    const requests::RetryQuery query{ true,   { Outcome::Unknown, Reason::ConnectionLost },
                                      number, deadline,
                                      delay,  scenario_.meanServiceTime };
    const bool retry =
      useBudget_
        ? requests::RetryPolicy(kMaxAttempts).decide(query, budgets_[vm], loop_.now()).retry
        : number < kMaxAttempts;
    if (retry) {
      loop_.after(delay, [=, this] { attempt(vm, number + 1, deadline); });
    }
  }

  const Scenario& scenario_;
  bool useBudget_;
  std::mt19937_64 random_;
  double requestsPerSecond_;
  std::vector<requests::RetryBudget> budgets_;
  std::vector<requests::HedgePolicy> hedges_;
  requests::Backoff backoff_;
  EventLoop loop_;
  base::TimePoint failFrom_;
  base::TimePoint end_;
  std::array<double, kFailureSeconds> requests_{};
  std::array<double, kFailureSeconds> attempts_{};
};

} // namespace

void measureRetryAmplification(QualityReport& report, const Scenario& scenario)
{
  for (const int servers : scenario.serversPerService) {
    double worst = 0;
    double worstBaseline = 0;
    for (int run = 0; run < report.runs(); ++run) {
      const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
      worst = std::max(worst, FailingFleet(scenario, servers, true, seed).run());
      worstBaseline = std::max(worstBaseline, FailingFleet(scenario, servers, false, seed).run());
    }
    report.add({ "retry_amplification",
                 scenario.name + "/" + std::to_string(servers),
                 worst,
                 "attempts/request",
                 1.2,
                 "naive retries",
                 worstBaseline });
  }
}

} // namespace sycamore::quality
