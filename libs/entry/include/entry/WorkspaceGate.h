#pragma once

#include <entry/Asio.h>
#include <entry/DispatchCounts.h>
#include <entry/MessageReader.h>

#include <dispatch/EntrySettings.h>
#include <dispatch/KeyTrust.h>
#include <dispatch/QuotaBorrower.h>
#include <dispatch/RoutingView.h>
#include <dispatch/WorkspaceDirectory.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sycamore::entry {

// What an entry VM decides about a request because of its key or its workspace's quota.
struct AccessDecision
{
  enum class Kind
  {
    Send,
    // The decision should be made again soon.
    Wait,
    Refuse
  };

  Kind kind = Kind::Send;
  // The answer to the caller if the request is refused.
  unsigned status = 0;
  const char* reason = "";
  // Time after which the caller may retry or, if the request waits, to decide again.
  std::optional<base::Duration> retryAfter;
};

// Checks the keys of requests, and asks for loans of the workspaces' quotas. Traffic thread only.
class WorkspaceGate
{
public:
  // Notified of questions to send to the coordinator.
  using QuestionListener = std::function<void(dispatch::QuotaQuestions)>;

  WorkspaceGate(const dispatch::EntrySettings& settings, DispatchCounts& counts);

  void publish(const dispatch::RoutingView& view);

  // Finds the workspace of a request and removes from the request what only the router may set. The
  // workspace stays null if the route is public or the deployment has no workspaces.
  AccessDecision authenticate(const dispatch::Route& route,
                              Request& request,
                              std::shared_ptr<const dispatch::Workspace>& workspace,
                              base::TimePoint now);

  // Decides whether a request of a workspace may still be sent.
  AccessDecision mayRun(base::TimePoint now);

  void setQuestionListener(QuestionListener listener) { questionListener_ = std::move(listener); }
  // Asks the coordinator for a loan if requests of the workspace wait.
  void askFor(const base::WorkspaceId& workspace, base::TimePoint now);
  // Asks, and tells what this VM holds, for all workspaces where it is due.
  void askWhereDue(base::TimePoint now);
  void onLoans(const dispatch::QuotaLoans& loans, base::TimePoint now);

  dispatch::QuotaBorrower& quotas() { return quotas_; }
  dispatch::QuotaBound boundOf(const dispatch::Workspace& workspace) const
  {
    return dispatch::boundOf(workspace, quotaSettings_);
  }
  std::size_t entryVms() const { return entryVms_; }
  DispatchCounts& counts() { return counts_; }

private:
  AccessDecision refuseUnsure();
  void send(std::vector<dispatch::QuotaQuestions> messages);

  dispatch::KeyTrust trust_;
  dispatch::QuotaSettings quotaSettings_;
  DispatchCounts& counts_;
  std::shared_ptr<const dispatch::Configuration> configuration_;
  std::optional<dispatch::WorkspaceDirectory> directory_;
  base::TimePoint configurationCurrentAt_{};
  std::size_t entryVms_ = 1;
  dispatch::QuotaBorrower quotas_;
  QuestionListener questionListener_;
  base::TimePoint nextDueQuestionsAt_{};
};

} // namespace sycamore::entry
