#include <entry/QuotaSharing.h>

#include <utility>

namespace sycamore::entry {

QuotaSharing::QuotaSharing(PeerLink& peerLink,
                           const dispatch::QuotaSettings& settings,
                           std::uint64_t run,
                           LoanListener loanListener)
  : peerLink_(peerLink)
  , settings_(settings)
  , run_(run)
  , loanListener_(std::move(loanListener))
{
}

void QuotaSharing::onCoordinatorKnown(std::uint64_t epoch, const PeerAddress& coordinator)
{
  if (epoch >= coordinatorEpoch_) {
    coordinatorEpoch_ = epoch;
    coordinator_ = coordinator;
  }
}

void QuotaSharing::setConfiguration(std::shared_ptr<const dispatch::Configuration> configuration)
{
  if (configuration == configuration_) {
    return;
  }
  configuration_ = std::move(configuration);
  bounds_.clear();
  if (!configuration_ || !configuration_->workspaces) {
    return;
  }
  for (const dispatch::Workspace& workspace : *configuration_->workspaces) {
    if (workspace.hasQuota()) {
      bounds_[workspace.id] = dispatch::boundOf(workspace, settings_);
    }
  }
}

void QuotaSharing::lend(std::uint64_t epoch, base::TimePoint confirmedUntil, base::TimePoint now)
{
  constexpr std::uint64_t kFirstEpoch = 1;
  if (epoch != lendingEpoch_) {
    lendingEpoch_ = epoch;
    issuer_.beginTerm(epoch > kFirstEpoch, now + dispatch::kOverlapDuration, now);
  }
  issuer_.confirmUntil(confirmedUntil);
}

void QuotaSharing::ask(const dispatch::QuotaQuestions& questions, base::TimePoint now)
{
  const QuotaQuestionsMessage message{ run_, questions };
  if (lendingEpoch_ != 0) {
    if (const auto loans = answer("", message, now)) {
      loanListener_(*loans);
    }
  } else if (coordinator_) {
    peerLink_.send(*coordinator_, message);
  }
}

void QuotaSharing::onMessage(const QuotaQuestionsMessage& message,
                             const PeerAddress& from,
                             base::TimePoint now)
{
  if (lendingEpoch_ == 0) {
    return;
  }
  if (const auto loans = answer(from.ip, message, now)) {
    peerLink_.send(from, QuotaLoansMessage{ *loans });
  }
}

std::optional<dispatch::QuotaLoans> QuotaSharing::answer(const std::string& ip,
                                                         const QuotaQuestionsMessage& message,
                                                         base::TimePoint now)
{
  const auto findBound =
    [this](const base::WorkspaceId& workspace) -> std::optional<dispatch::QuotaBound> {
    const auto found = bounds_.find(workspace);
    return found == bounds_.end() ? std::nullopt : std::optional(found->second);
  };
  return issuer_.answer(ip + '/' + std::to_string(message.run), message.questions, findBound, now);
}

} // namespace sycamore::entry
