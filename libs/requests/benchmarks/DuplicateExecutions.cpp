#include "Measurements.h"

#include <quality/EventLoop.h>
#include <requests/DeduplicationTable.h>

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace sycamore::quality {

namespace {

using namespace std::chrono_literals;
using requests::DeduplicationVerdict;

constexpr int kCallers = 500;
constexpr auto kDuration = 300s;

const requests::WallTime kWall{ std::chrono::milliseconds(1'790'000'000'000) };

// Callers that send non-idempotent requests, and resend them when the answer is lost, refused or
// unknown, at once, after a pause, or after minutes. Every few seconds a dispatcher is replaced
// (its ledger is lost) or a key moves to another server.
class ResendingCallers
{
public:
  ResendingCallers(const Scenario& scenario, bool ledger, std::uint64_t seed)
    : scenario_(scenario)
    , servers_(scenario.serversPerService[1])
    , useLedger_(ledger)
    , random_(seed)
    , start_(loop_.now())
  {
    for (int i = 0; i < servers_; ++i) {
      dispatchers_.push_back(newDispatcher());
    }
    for (int i = 0; i < kCallers; ++i) {
      owners_.push_back(i % servers_);
      ownedSince_.push_back(start_);
      skews_.push_back(std::chrono::milliseconds(static_cast<int>(random_() % 9000) - 4500));
    }
  }

  // Executions of a request beyond its first.
  std::uint64_t run()
  {
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      loop_.after(std::chrono::milliseconds(random_() % 1000), [this, caller] { fresh(caller); });
    }
    loop_.after(1s, [this] { disturb(); });
    loop_.runUntil(start_ + kDuration);
    return duplicates_;
  }

private:
  struct Dispatcher
  {
    base::TimePoint since;
    std::unique_ptr<requests::DeduplicationTable> ledger;
  };

  requests::WallTime wall() const
  {
    return kWall + std::chrono::floor<std::chrono::milliseconds>(loop_.now() - start_);
  }

  Dispatcher newDispatcher()
  {
    return { loop_.now(),
             std::make_unique<requests::DeduplicationTable>(
               requests::DeduplicationSettings{}, loop_.now(), wall()) };
  }

  void disturb()
  {
    if (random_() % 4 == 0) {
      dispatchers_[random_() % dispatchers_.size()] = newDispatcher();
    }
    const std::size_t caller = random_() % kCallers;
    owners_[caller] = static_cast<int>(random_() % dispatchers_.size());
    ownedSince_[caller] = loop_.now();
    loop_.after(1s, [this] { disturb(); });
  }

  void fresh(std::size_t caller)
  {
    const std::string id =
      requests::Uuid7::make(wall() + skews_[caller], random_).toRequestId().value();
    send(caller, id, 1);
  }

  void send(std::size_t caller, const std::string& id, unsigned attempt)
  {
    Dispatcher& dispatcher = dispatchers_[static_cast<std::size_t>(owners_[caller])];
    const base::TimePoint since = std::max(dispatcher.since, ownedSince_[caller]);
    const auto decision = dispatcher.ledger->begin({ id, attempt, 1, since }, loop_.now());
    if (!useLedger_ || decision.verdict == DeduplicationVerdict::Run) {
      execute(caller, id, attempt);
    } else {
      again(caller, id, attempt, decision.verdict == DeduplicationVerdict::ReplayAnswer);
    }
  }

  // The execution takes some time, in which the dispatcher may be lost and the caller may resend.
  void execute(std::size_t caller, const std::string& id, unsigned attempt)
  {
    const auto fate = random_() % 8;
    if (fate > 0) {
      duplicates_ += executions_[id]++ > 0 ? 1 : 0;
    }
    const auto server = static_cast<std::size_t>(owners_[caller]);
    // One in ten takes long enough for resends to find it in progress.
    const auto factor = random_() % 10 == 0 ? 100 : 1;
    loop_.after(2 * scenario_.hop + factor * drawServiceTime(scenario_, random_), [=, this] {
      requests::DeduplicationTable& ledger = *dispatchers_[server].ledger;
      if (fate == 0) {
        ledger.markNotRun(id, loop_.now());
      } else if (fate == 1) {
        ledger.markUnknown(id, loop_.now());
      } else {
        ledger.markRan(id, { 200, "text/plain", "done" }, loop_.now());
      }
    });
    again(caller, id, attempt, fate > 4);
  }

  // A caller that got its answer goes on; the others resend, some of them while the first send is
  // still in progress, some very late.
  void again(std::size_t caller, const std::string& id, unsigned attempt, bool answered)
  {
    if (answered || attempt >= 6) {
      loop_.after(std::chrono::milliseconds(random_() % 2000), [this, caller] { fresh(caller); });
      return;
    }
    const bool late = random_() % 10 == 0;
    const auto pause = std::chrono::milliseconds(random_() % (late ? 200'000 : 1500));
    loop_.after(pause, [=, this] { send(caller, id, attempt + 1); });
  }

  const Scenario& scenario_;
  int servers_;
  bool useLedger_;
  std::mt19937_64 random_;
  EventLoop loop_;
  base::TimePoint start_;
  std::vector<Dispatcher> dispatchers_;
  std::vector<int> owners_;
  std::vector<base::TimePoint> ownedSince_;
  std::vector<std::chrono::milliseconds> skews_;
  std::unordered_map<std::string, int> executions_;
  std::uint64_t duplicates_ = 0;
};

} // namespace

void measureDuplicateExecutions(QualityReport& report, const Scenario& scenario)
{
  std::uint64_t duplicates = 0;
  std::uint64_t naive = 0;
  for (int run = 0; run < report.runs(); ++run) {
    const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
    duplicates += ResendingCallers(scenario, true, seed).run();
    naive += ResendingCallers(scenario, false, seed).run();
  }
  report.add({ "duplicate_executions",
               scenario.name,
               static_cast<double>(duplicates),
               "executions",
               0,
               "every resend dispatched",
               static_cast<double>(naive) });
}

} // namespace sycamore::quality
