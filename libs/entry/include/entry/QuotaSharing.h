#pragma once

#include <entry/PeerLink.h>

#include <dispatch/EntrySettings.h>
#include <dispatch/QuotaIssuer.h>

#include <functional>
#include <memory>
#include <optional>

namespace sycamore::entry {

// This VM's part in keeping the quotas of workspaces: lends them as the coordinator, or asks there.
// Control thread only.
class QuotaSharing
{
public:
  // Notified of each answer to questions of this VM.
  using LoanListener = std::function<void(dispatch::QuotaLoans)>;

  // `run` identifies this run of the process.
  QuotaSharing(PeerLink& peerLink,
               const dispatch::QuotaSettings& settings,
               std::uint64_t run,
               LoanListener loanListener);

  // The ownership record or a heartbeat has named the coordinator of an epoch. The latest one
  // counts: a heartbeat is often faster than the record.
  void onCoordinatorKnown(std::uint64_t epoch, const PeerAddress& coordinator);
  void setConfiguration(std::shared_ptr<const dispatch::Configuration> configuration);

  // This VM is the coordinator of an epoch, and no other can be until `confirmedUntil`.
  void lend(std::uint64_t epoch, base::TimePoint confirmedUntil, base::TimePoint now);
  void stopLending() { lendingEpoch_ = 0; }
  void onPredecessorStopped(base::TimePoint now) { issuer_.onPredecessorStopped(now); }

  void ask(const dispatch::QuotaQuestions& questions, base::TimePoint now);
  void onMessage(const QuotaQuestionsMessage& message,
                 const PeerAddress& from,
                 base::TimePoint now);
  void onMessage(const QuotaLoansMessage& message) { loanListener_(message.loans); }

  const dispatch::QuotaIssuer::Counts& counts() const { return issuer_.counts(); }

private:
  std::optional<dispatch::QuotaLoans> answer(const std::string& ip,
                                             const QuotaQuestionsMessage& message,
                                             base::TimePoint now);

  PeerLink& peerLink_;
  dispatch::QuotaSettings settings_;
  std::uint64_t run_;
  LoanListener loanListener_;
  std::optional<PeerAddress> coordinator_;
  std::uint64_t coordinatorEpoch_ = 0;
  std::shared_ptr<const dispatch::Configuration> configuration_;
  // Bounds of the workspaces that have a quota.
  std::map<base::WorkspaceId, dispatch::QuotaBound> bounds_;
  dispatch::QuotaIssuer issuer_;
  // Epoch in which this VM lends; 0 if it doesn't.
  std::uint64_t lendingEpoch_ = 0;
};

} // namespace sycamore::entry
