#include "ConfigurationCheck.h"

#include <StoreTexts.h>

namespace sycamore::soak {

namespace {

// Time within which a change must be in force, and for which a disturbance excuses a VM.
constexpr double kApplyBound = 2;
constexpr double kExcuse = 3;
constexpr double kMinInterval = 0.4;
constexpr double kMaxInterval = 3;
constexpr double kPause = 0.02;
// Routes of older changes are removed.
constexpr std::size_t kRoutes = 20;
constexpr int kTimeoutMs = 300;

std::string prefixOf(std::size_t change)
{
  return "/change-" + std::to_string(change) + "/";
}

} // namespace

ConfigurationCheck::ConfigurationCheck(review::Deployment& deployment, std::uint64_t seed)
  : deployment_(deployment)
  , random_(seed)
  , thread_([this] { run(); })
{
}

ConfigurationCheck::~ConfigurationCheck()
{
  stop();
}

void ConfigurationCheck::stop()
{
  stopped_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ConfigurationCheck::run()
{
  Nanoseconds nextChangeAt = 0;
  for (std::size_t i = 0; !stopped_; ++i) {
    if (steadyNow() >= nextChangeAt) {
      addRoute();
      nextChangeAt =
        steadyNow() +
        seconds(std::uniform_real_distribution<double>(kMinInterval, kMaxInterval)(random_));
    }
    ask(*deployment_.vms()[i % deployment_.vms().size()]);
    review::sleepFor(kPause);
  }
}

void ConfigurationCheck::addRoute()
{
  const std::size_t change = acknowledgedAt_.size();
  const std::string content =
    wire::testing::contentWithRoute(deployment_.store().get("config", "main")->at("spec").dump(),
                                    "r-shelf",
                                    prefixOf(change),
                                    change < kRoutes ? "" : prefixOf(change - kRoutes));
  deployment_.store().put("config", "main", review::Json::parse(content), nullptr);
  acknowledgedAt_.push_back(steadyNow());
}

void ConfigurationCheck::ask(const review::EntryVm& vm)
{
  const Nanoseconds now = steadyNow();
  const auto newest = std::find_if(
    acknowledgedAt_.rbegin(), acknowledgedAt_.rend(), [now](Nanoseconds acknowledgedAt) {
      return acknowledgedAt + seconds(kApplyBound) <= now;
    });
  if (newest == acknowledgedAt_.rend()) {
    return;
  }
  const auto change = static_cast<std::size_t>(acknowledgedAt_.rend() - newest) - 1;
  const review::Answer answer = deployment_.ask(
    vm, "GET", prefixOf(change) + "x/1", "change-" + std::to_string(questions_), kTimeoutMs, 0);
  ++questions_;
  if (answer.status == 404) {
    olderAnswers_.push_back({ vm.ip, change, now });
  }
}

std::vector<std::string> ConfigurationCheck::violations(
  const Disturbances& disturbances,
  const std::vector<Nanoseconds>& silences) const
{
  std::vector<std::string> result;
  for (const OlderAnswer& older : olderAnswers_) {
    const Nanoseconds excusedFrom = older.sentAt - seconds(kExcuse);
    const auto found = disturbances.find(older.vm);
    const bool isExcused =
      std::ranges::any_of(
        silences, [&](Nanoseconds at) { return at >= excusedFrom && at <= older.sentAt; }) ||
      (found != disturbances.end() && std::ranges::any_of(found->second, [&](const auto& span) {
         return span.first <= older.sentAt && span.second >= excusedFrom;
       }));
    if (!isExcused) {
      result.push_back(older.vm + " refused a request by a configuration without change " +
                       std::to_string(older.change) + ", acknowledged " +
                       std::to_string((older.sentAt - acknowledgedAt_[older.change]) / 1'000'000) +
                       " ms before");
    }
  }
  return result;
}

} // namespace sycamore::soak
