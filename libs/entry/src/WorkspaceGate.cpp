#include <entry/WorkspaceGate.h>

#include <wire/ServerProtocol.h>

namespace sycamore::entry {

namespace {

// Retry delay while the copy of the keys may be outdated: another entry VM may know more.
constexpr base::Duration kUnsureRetryDelay = base::milliseconds(150);
// Interval at which the coordinator is told what this VM holds.
constexpr base::Duration kDueQuestionsInterval = base::milliseconds(390);
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kUnavailable = 503;

} // namespace

WorkspaceGate::WorkspaceGate(const dispatch::EntrySettings& settings, DispatchCounts& counts)
  : trust_(settings.keyWithdrawal)
  , quotaSettings_(settings.quota)
  , counts_(counts)
{
}

void WorkspaceGate::publish(const dispatch::RoutingView& view)
{
  configurationCurrentAt_ = view.configurationCurrentAt;
  entryVms_ = view.entryVms;
  if (view.configuration && view.configuration != configuration_) {
    configuration_ = view.configuration;
    directory_.emplace(configuration_);
  }
}

AccessDecision WorkspaceGate::authenticate(const dispatch::Route& route,
                                           Request& request,
                                           std::shared_ptr<const dispatch::Workspace>& workspace,
                                           base::TimePoint now)
{
  if (!directory_ || !directory_->requiresKeys()) {
    return {};
  }
  const std::string apiKey = wire::readApiKey(request.fields);
  wire::removeWorkspaceHeaders(request.fields);
  if (route.isPublic) {
    return {};
  }
  workspace = directory_->find(apiKey);
  if (workspace) {
    return mayRun(now);
  }
  if (!trust_.mayReject(configurationCurrentAt_, now)) {
    return refuseUnsure();
  }
  ++counts_.refusedUnknownKey;
  return { AccessDecision::Kind::Refuse,
           kUnauthorized,
           "the request's key belongs to no workspace",
           std::nullopt };
}

AccessDecision WorkspaceGate::mayRun(base::TimePoint now)
{
  return trust_.mayAccept(configurationCurrentAt_, now) ? AccessDecision{} : refuseUnsure();
}

void WorkspaceGate::askFor(const base::WorkspaceId& workspace, base::TimePoint now)
{
  send(quotas_.takeUrgentQuestions(workspace, now));
}

void WorkspaceGate::askWhereDue(base::TimePoint now)
{
  if (now >= nextDueQuestionsAt_) {
    nextDueQuestionsAt_ = now + kDueQuestionsInterval;
    send(quotas_.takeDueQuestions(now));
  }
}

void WorkspaceGate::onLoans(const dispatch::QuotaLoans& loans, base::TimePoint now)
{
  quotas_.onLoans(loans, now);
}

void WorkspaceGate::send(std::vector<dispatch::QuotaQuestions> messages)
{
  for (dispatch::QuotaQuestions& questions : messages) {
    ++counts_.quotaQuestions;
    if (questionListener_) {
      questionListener_(std::move(questions));
    }
  }
}

AccessDecision WorkspaceGate::refuseUnsure()
{
  ++counts_.refusedKeysOutdated;
  return { AccessDecision::Kind::Refuse,
           kUnavailable,
           "this entry VM can't tell whether the request's key is still valid",
           kUnsureRetryDelay };
}

} // namespace sycamore::entry
