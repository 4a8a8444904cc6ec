#include <entry/WorkspaceAdmission.h>

#include <entry/SteadyTime.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Time for which a request waits for a loan. Answers arrive within a few milliseconds.
constexpr base::Duration kMaxWait = base::milliseconds(100);
constexpr base::Duration kPollDelay = base::milliseconds(4);
// Retry delays of requests beyond the quota and of those without an answer of the coordinator.
constexpr base::Duration kMinQuotaRetryDelay = base::milliseconds(100);
constexpr base::Duration kNoCoordinatorRetryDelay = base::milliseconds(250);
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

} // namespace

WorkspaceAdmission::WorkspaceAdmission(WorkspaceGate& gate,
                                       std::shared_ptr<const dispatch::Workspace> workspace)
  : gate_(gate)
  , workspace_(std::move(workspace))
{
  if (workspace_->hasQuota()) {
    balance_ = gate_.quotas().balanceOf(workspace_->id);
    bound_ = gate_.boundOf(*workspace_);
  }
}

WorkspaceAdmission::~WorkspaceAdmission()
{
  if (hasTaken_ && !mayHaveRun_) {
    balance_->giveBack(clockNow());
  }
}

AccessDecision WorkspaceAdmission::decide(base::TimePoint now)
{
  const AccessDecision keyDecision = gate_.mayRun(now);
  if (keyDecision.kind != AccessDecision::Kind::Send || !balance_ || hasTaken_) {
    return keyDecision;
  }
  const bool isFirst = waitEndsAt_ == base::TimePoint{};
  waitEndsAt_ = isFirst ? now + kMaxWait : waitEndsAt_;
  switch (balance_->tryTake(bound_, { isFirst, waitEndsAt_ }, gate_.entryVms(), now)) {
    case dispatch::QuotaDecision::Run:
      hasTaken_ = true;
      wait_.reset();
      return {};
    case dispatch::QuotaDecision::Wait:
      return onWait(now);
    case dispatch::QuotaDecision::Exceeded:
      ++gate_.counts().refusedOverQuota;
      return { AccessDecision::Kind::Refuse,
               kTooManyRequests,
               "the workspace has used its quota",
               std::max(kMinQuotaRetryDelay, balance_->retryIn(now)) };
    case dispatch::QuotaDecision::NoCoordinator:
      break;
  }
  // Keeps asking, so that the next request finds out whether the coordinator answers again.
  wait_.emplace(balance_);
  gate_.askFor(workspace_->id, now);
  ++gate_.counts().refusedNoQuotaAnswer;
  return { AccessDecision::Kind::Refuse,
           kUnavailable,
           "the coordinator, which lends the workspace's quota, doesn't answer",
           kNoCoordinatorRetryDelay };
}

AccessDecision WorkspaceAdmission::onWait(base::TimePoint now)
{
  if (now >= waitEndsAt_) {
    ++gate_.counts().refusedNoQuotaAnswer;
    return { AccessDecision::Kind::Refuse,
             kUnavailable,
             "no answer to the question for the workspace's quota",
             kNoCoordinatorRetryDelay };
  }
  wait_.emplace(balance_);
  gate_.askFor(workspace_->id, now);
  return { AccessDecision::Kind::Wait, 0, "", std::max(kPollDelay, balance_->retryIn(now)) };
}

} // namespace sycamore::entry
