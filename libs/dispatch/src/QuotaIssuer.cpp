#include <dispatch/QuotaIssuer.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Maximum parts of the stock that VMs hold: ahead of their demand, and with what waiting callers
// need. The rest is what a new coordinator uses until the loans of its predecessor have ended.
constexpr double kLentAheadShare = 0.5;
constexpr double kLentShare = 0.75;
// Part of the stock that is kept for waiting callers.
constexpr double kKeptShare = 0.25;
constexpr double kMinRetrySeconds = 0.06;
constexpr double kMaxRetrySeconds = 1;

double secondsBetween(base::TimePoint from, base::TimePoint to)
{
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

unsigned wholeUpTo(double value, unsigned limit)
{
  return static_cast<unsigned>(std::clamp(std::floor(value), 0.0, static_cast<double>(limit)));
}

} // namespace

void QuotaIssuer::beginTerm(bool hadPredecessor, base::TimePoint overlapEndsAt, base::TimePoint now)
{
  accounts_.clear();
  sequences_.clear();
  beganAt_ = now;
  overlapEndsAt_ = hadPredecessor ? std::max(now, overlapEndsAt) : now;
  unknownLoansEndAt_ = hadPredecessor ? overlapEndsAt_ + kQuotaLoanDuration : now;
  confirmedUntil_ = now;
}

void QuotaIssuer::onPredecessorStopped(base::TimePoint now)
{
  overlapEndsAt_ = std::min(overlapEndsAt_, now);
  unknownLoansEndAt_ = std::min(unknownLoansEndAt_, now + kQuotaLoanDuration);
}

std::optional<QuotaLoans> QuotaIssuer::answer(const std::string& vm,
                                              const QuotaQuestions& questions,
                                              const FindBound& findBound,
                                              base::TimePoint now)
{
  std::uint64_t& sequence = sequences_[vm];
  if (now >= confirmedUntil_ || questions.sequence <= sequence) {
    return std::nullopt;
  }
  sequence = questions.sequence;
  QuotaLoans loans{ questions.sequence, {} };
  for (const QuotaQuestion& question : questions.questions) {
    if (const auto bound = findBound(question.workspace)) {
      loans.loans.push_back(lend(vm, question, *bound, now));
    }
  }
  return loans;
}

QuotaLoan QuotaIssuer::lend(const std::string& vm,
                            const QuotaQuestion& question,
                            const QuotaBound& bound,
                            base::TimePoint now)
{
  Account& account = accountOf(question.workspace, now);
  accrue(account, bound, now);
  std::erase_if(account.holdings, [now](const auto& entry) { return now >= entry.second.endsAt; });
  Holding& holding = account.holdings[vm];
  holding.count = question.held;
  holding.ofThisTerm = std::min<double>(holding.ofThisTerm, question.held);
  holding.endsAt = now + kQuotaLoanDuration;
  // While loans of a predecessor may be unknown, all of them count as their maximum.
  const bool areLoansKnown = now >= unknownLoansEndAt_;
  const double stock = areLoansKnown ? bound.stock : std::max(1.0, bound.stock * (1 - kLentShare));
  const double held = account.held(areLoansKnown);
  account.available = std::min(account.available + question.returned, stock - held);

  const unsigned forWaiting = wholeUpTo(
    std::min(account.available, std::max(1.0, bound.stock * kLentShare) - held), question.waiting);
  const double left =
    std::min(account.available - stock * kKeptShare, bound.stock * kLentAheadShare - held) -
    forWaiting;
  // While little may be lent, all of it is for callers that wait.
  const bool mayLendAhead = areLoansKnown && forWaiting == question.waiting;
  const unsigned ahead = mayLendAhead ? wholeUpTo(left, question.expected) : 0;
  const unsigned count = forWaiting + ahead;
  account.available -= count;
  holding.count += count;
  holding.ofThisTerm += count;
  counts_.lent += count;
  counts_.returned += question.returned;
  QuotaLoan loan{ question.workspace, count, {} };
  if (forWaiting < question.waiting) {
    counts_.denied += question.waiting - forWaiting;
    account.denied =
      std::min(account.denied + question.waiting - forWaiting, bound.perSecond * kMaxRetrySeconds);
    loan.retryIn = retryIn(account, bound);
  }
  return loan;
}

QuotaIssuer::Account& QuotaIssuer::accountOf(const base::WorkspaceId& workspace,
                                             base::TimePoint now)
{
  const auto [found, isNew] = accounts_.try_emplace(workspace);
  if (isNew) {
    // A workspace for which nobody has asked in this term has accrued since its beginning.
    found->second.accruedAt = std::min(beganAt_, now);
  }
  return found->second;
}

void QuotaIssuer::accrue(Account& account, const QuotaBound& bound, base::TimePoint now) const
{
  const double sole = secondsBetween(std::max(account.accruedAt, overlapEndsAt_), now);
  const double overlapping = secondsBetween(account.accruedAt, std::min(now, overlapEndsAt_));
  const double accrued = bound.perSecond * (sole + kOverlapShare * overlapping);
  account.accruedAt = now;
  account.available += accrued;
  account.denied = std::max(0.0, account.denied - accrued);
}

// Each VM that was denied gets a later time, so that they don't all ask for the next request.
base::Duration QuotaIssuer::retryIn(const Account& account, const QuotaBound& bound) const
{
  const double seconds = (1 - account.available + account.denied) / bound.perSecond;
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(std::clamp(seconds, kMinRetrySeconds, kMaxRetrySeconds)));
}

double QuotaIssuer::Account::held(bool ofAllTerms) const
{
  double sum = 0;
  for (const auto& [vm, holding] : holdings) {
    sum += ofAllTerms ? holding.count : holding.ofThisTerm;
  }
  return sum;
}

} // namespace sycamore::dispatch
