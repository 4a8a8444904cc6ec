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

// Callers that send non-idempotent requests, and resend them at once, after a pause or after
// minutes if the answer is lost, refused or unknown. Every second a key moves to another server,
// and every few seconds a dispatcher is replaced, whose deduplication table is lost.
class ResendingCallers
{
public:
  ResendingCallers(const Scenario& scenario, bool useTable, std::uint64_t seed)
    : scenario_(scenario)
    , servers_(scenario.serversPerService[1])
    , useTable_(useTable)
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

  // Returns the number of executions of a request beyond its first.
  std::uint64_t run()
  {
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      loop_.after(std::chrono::milliseconds(random_() % 1000), [this, caller] { sendNew(caller); });
    }
    loop_.after(1s, [this] { injectFault(); });
    loop_.runUntil(start_ + kDuration);
    return duplicates_;
  }

private:
  struct Dispatcher
  {
    base::TimePoint since;
    std::unique_ptr<requests::DeduplicationTable> table;
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

  void injectFault()
  {
    if (random_() % 4 == 0) {
      dispatchers_[random_() % dispatchers_.size()] = newDispatcher();
    }
    const std::size_t caller = random_() % kCallers;
    owners_[caller] = static_cast<int>(random_() % dispatchers_.size());
    ownedSince_[caller] = loop_.now();
    loop_.after(1s, [this] { injectFault(); });
  }

  void sendNew(std::size_t caller)
  {
    const std::string id =
      requests::Uuid7::make(wall() + skews_[caller], random_).toRequestId().value();
    send(caller, id, 1);
  }

  void send(std::size_t caller, const std::string& id, unsigned attempt)
  {
    Dispatcher& dispatcher = dispatchers_[static_cast<std::size_t>(owners_[caller])];
    const base::TimePoint since = std::max(dispatcher.since, ownedSince_[caller]);
    const auto decision = dispatcher.table->begin({ id, attempt, 1, since }, loop_.now());
    if (!useTable_ || decision.verdict == DeduplicationVerdict::Run) {
      execute(caller, id, attempt);
    } else {
      continueCaller(caller, id, attempt, decision.verdict == DeduplicationVerdict::ReplayAnswer);
    }
  }

  // Runs the request for some time, during which the dispatcher may be replaced and the caller may
  // resend.
  void execute(std::size_t caller, const std::string& id, unsigned attempt)
  {
    const auto result = random_() % 8;
    if (result > 0) {
      duplicates_ += executions_[id]++ > 0 ? 1 : 0;
    }
    const auto server = static_cast<std::size_t>(owners_[caller]);
    // One in ten executions takes long enough for resends to find it in progress.
    const auto factor = random_() % 10 == 0 ? 100 : 1;
    loop_.after(2 * scenario_.hop + factor * drawServiceTime(scenario_, random_), [=, this] {
      requests::DeduplicationTable& table = *dispatchers_[server].table;
      if (result == 0) {
        table.markNotRun(id, loop_.now());
      } else if (result == 1) {
        table.markUnknown(id, loop_.now());
      } else {
        table.markRan(id, { 200, "text/plain", "done" }, loop_.now());
      }
    });
    continueCaller(caller, id, attempt, result > 4);
  }

  // A caller that received its answer sends its next request. The others resend, some while the
  // first send is still in progress, some minutes later.
  void continueCaller(std::size_t caller, const std::string& id, unsigned attempt, bool answered)
  {
    if (answered || attempt >= 6) {
      loop_.after(std::chrono::milliseconds(random_() % 2000), [this, caller] { sendNew(caller); });
      return;
    }
    const bool late = random_() % 10 == 0;
    const auto pause = std::chrono::milliseconds(random_() % (late ? 200'000 : 1500));
    loop_.after(pause, [=, this] { send(caller, id, attempt + 1); });
  }

  const Scenario& scenario_;
  int servers_;
  bool useTable_;
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
  std::uint64_t baseline = 0;
  for (int run = 0; run < report.runs(); ++run) {
    const std::uint64_t seed = report.seed() + static_cast<std::uint64_t>(run);
    duplicates += ResendingCallers(scenario, true, seed).run();
    baseline += ResendingCallers(scenario, false, seed).run();
  }
  report.add({ "duplicate_executions",
               scenario.name,
               static_cast<double>(duplicates),
               "executions",
               0,
               "every resend dispatched",
               static_cast<double>(baseline) });
}

} // namespace sycamore::quality
