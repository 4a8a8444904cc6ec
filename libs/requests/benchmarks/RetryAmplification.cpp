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
constexpr std::size_t kFailSeconds = 10;

// Entry VMs that receive the requests of one service and retry them. All servers work for a time,
// then all fail.
class FailingFleet
{
public:
  FailingFleet(const Scenario& scenario, int servers, bool budgeted, std::uint64_t seed)
    : scenario_(scenario)
    , budgeted_(budgeted)
    , random_(seed)
    , perSecond_(0.5 * servers * scenario.slots /
                 std::chrono::duration<double>(scenario.meanServiceTime).count())
    , budgets_(static_cast<std::size_t>(scenario.entryVms))
    , hedges_(static_cast<std::size_t>(scenario.entryVms))
  {
  }

  // Attempts per request in the worst second of ten seconds of failure.
  double run()
  {
    const base::TimePoint start = loop_.now();
    failFrom_ = start + 10s;
    end_ = failFrom_ + std::chrono::seconds(kFailSeconds);
    arrive();
    loop_.runUntil(end_ + 2s);
    double worst = 0;
    for (std::size_t second = 0; second < kFailSeconds; ++second) {
      worst = std::max(worst, attempts_[second] / requests_[second]);
    }
    return worst;
  }

private:
  void count(std::array<double, kFailSeconds>& counts, base::TimePoint at)
  {
    const auto second = (at - failFrom_) / 1s;
    if (at >= failFrom_ && second < static_cast<std::int64_t>(kFailSeconds)) {
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
    loop_.after(drawInterarrivalTime(perSecond_, random_), [this] { arrive(); });
  }

  void attempt(std::size_t vm, unsigned number, base::TimePoint deadline)
  {
    const base::TimePoint sentAt = loop_.now();
    const bool fails = sentAt >= failFrom_;
    count(attempts_, sentAt);
    const base::Duration took = 2 * scenario_.hop + drawServiceTime(scenario_, random_);
    if (budgeted_ && fails && number == 1) {
      // A failing server may also be slow to say so: the worst case for hedges.
      const auto hedgeAt = hedges_[vm].hedgeAt(true, sentAt, deadline);
      if (hedgeAt && *hedgeAt <= sentAt + took) {
        loop_.at(*hedgeAt, [this, vm] { hedge(vm); });
      }
    }
    loop_.after(took, [=, this] { ended(vm, number, deadline, fails, took); });
  }

  void hedge(std::size_t vm)
  {
    if (hedges_[vm].tryHedge(loop_.now())) {
      count(attempts_, loop_.now());
    }
  }

  void ended(std::size_t vm,
             unsigned number,
             base::TimePoint deadline,
             bool failed,
             base::Duration took)
  {
    if (!failed) {
      budgets_[vm].recordSuccess(loop_.now());
      hedges_[vm].recordSuccess(took, loop_.now());
      return;
    }
    const base::Duration delay = backoff_.delay(number, std::nullopt, random_);
    const requests::RetryQuery query{ true,   { Outcome::Unknown, Reason::ConnectionLost },
                                      number, deadline,
                                      delay,  scenario_.meanServiceTime };
    const bool retry =
      budgeted_ ? requests::RetryPolicy(kMaxAttempts).decide(query, budgets_[vm], loop_.now()).retry
                : number < kMaxAttempts;
    if (retry) {
      loop_.after(delay, [=, this] { attempt(vm, number + 1, deadline); });
    }
  }

  const Scenario& scenario_;
  bool budgeted_;
  std::mt19937_64 random_;
  double perSecond_;
  std::vector<requests::RetryBudget> budgets_;
  std::vector<requests::HedgePolicy> hedges_;
  requests::Backoff backoff_;
  EventLoop loop_;
  base::TimePoint failFrom_;
  base::TimePoint end_;
  std::array<double, kFailSeconds> requests_{};
  std::array<double, kFailSeconds> attempts_{};
};

} // namespace

void measureRetryAmplification(QualityReport& report, const Scenario& scenario)
{
  for (const int servers : scenario.serversPerService) {
    double worst = 0;
    double worstNaive = 0;
    for (int run = 0; run < report.runs(); ++run) {
      const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
      worst = std::max(worst, FailingFleet(scenario, servers, true, seed).run());
      worstNaive = std::max(worstNaive, FailingFleet(scenario, servers, false, seed).run());
    }
    report.add({ "retry_amplification",
                 scenario.name + "/" + std::to_string(servers),
                 worst,
                 "attempts/request",
                 1.2,
                 "naive retries",
                 worstNaive });
  }
}

} // namespace sycamore::quality
