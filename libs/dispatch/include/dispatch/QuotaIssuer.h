#pragma once

#include <dispatch/QuotaBound.h>
#include <dispatch/QuotaLoan.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sycamore::dispatch {

// Lends the quotas of workspaces to entry VMs by demand. It runs on the coordinator. For each
// workspace it knows an upper bound of the unused requests that any VM holds, and lets requests
// accrue only while those and its own together stay within the stock of QuotaBound. So the bound
// holds wherever requests are used, and a loan that is lost with its VM or its message costs the
// workspace some requests, but none is lent twice.
class QuotaIssuer
{
public:
  // Returns the bound of a workspace with a quota.
  using FindBound = std::function<std::optional<QuotaBound>(const base::WorkspaceId&)>;

  // Counters since the start.
  struct Counts
  {
    std::uint64_t lent = 0;
    std::uint64_t denied = 0;
    std::uint64_t returned = 0;
  };

  // Forgets everything, because the term of this coordinator begins. The loans of a predecessor, if
  // there can be any, are unknown; it may go on lending until `overlapEndsAt`.
  void beginTerm(bool hadPredecessor, base::TimePoint overlapEndsAt, base::TimePoint now);
  // The predecessor has said that it lends no more.
  void onPredecessorStopped(base::TimePoint now);
  // Sets the time up to which no other VM can have become the coordinator. Nothing is lent
  // after it.
  void confirmUntil(base::TimePoint until) { confirmedUntil_ = std::max(confirmedUntil_, until); }

  // Answers the questions of an entry VM, which is named by its address and the run of its process.
  // Returns nothing if the questions are outdated or this VM may no longer lend.
  std::optional<QuotaLoans> answer(const std::string& vm,
                                   const QuotaQuestions& questions,
                                   const FindBound& findBound,
                                   base::TimePoint now);

  const Counts& counts() const { return counts_; }

private:
  struct Holding
  {
    // Upper bounds of the unused requests that the VM holds, and of those lent in this term.
    double count = 0;
    double ofThisTerm = 0;
    base::TimePoint endsAt{};
  };

  struct Account
  {
    // Accrued requests that aren't lent. Negative while VMs hold more than the stock.
    double available = 0;
    base::TimePoint accruedAt{};
    // Denied requests whose callers will come again.
    double denied = 0;
    std::map<std::string, Holding> holdings;

    double held(bool ofAllTerms) const;
  };

  QuotaLoan lend(const std::string& vm,
                 const QuotaQuestion& question,
                 const QuotaBound& bound,
                 base::TimePoint now);
  Account& accountOf(const base::WorkspaceId& workspace, base::TimePoint now);
  void accrue(Account& account, const QuotaBound& bound, base::TimePoint now) const;
  base::Duration retryIn(const Account& account, const QuotaBound& bound) const;

  std::map<base::WorkspaceId, Account> accounts_;
  // Number of the last questions of each VM.
  std::map<std::string, std::uint64_t> sequences_;
  base::TimePoint beganAt_{};
  base::TimePoint overlapEndsAt_{};
  base::TimePoint unknownLoansEndAt_{};
  base::TimePoint confirmedUntil_{};
  Counts counts_;
};

} // namespace sycamore::dispatch
