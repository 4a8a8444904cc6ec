#include <dispatch/QuotaBalance.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Time after which a question counts as unanswered.
constexpr base::Duration kAnswerTimeout = base::milliseconds(80);
// Number of unanswered questions after which the coordinator counts as lost, and the interval of
// the questions from then on.
constexpr unsigned kMaxUnansweredQuestions = 3;
constexpr base::Duration kRetryInterval = base::milliseconds(200);
// Time constant of the mean demand, and the demand below which nothing is held ahead.
constexpr double kDemandSeconds = 2;
constexpr double kMinDemand = 0.2;
// Requests of this time are held ahead: about as long as a change of the coordinator takes.
constexpr double kAheadSeconds = 1;
// Loans are renewed when this time is left.
constexpr base::Duration kRenewalTime = base::milliseconds(800);

double secondsOf(base::Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

QuotaDecision QuotaBalance::tryTake(const QuotaBound& bound,
                                    const QuotaSeeker& seeker,
                                    std::size_t entryVms,
                                    base::TimePoint now)
{
  if (seeker.isFirst) {
    decayDemand(now);
    demand_ += 1 / kDemandSeconds;
  }
  expire(now);
  if (held_ > 0) {
    --held_;
    return QuotaDecision::Run;
  }
  closeUnansweredQuestion(now);
  if (now < exceededUntil_) {
    return exceededUntil_ < seeker.waitEndsAt ? QuotaDecision::Wait : QuotaDecision::Exceeded;
  }
  if (unansweredQuestions_ < kMaxUnansweredQuestions) {
    return QuotaDecision::Wait;
  }
  return tryTakeWithoutCoordinator(bound, entryVms, now) ? QuotaDecision::Run
                                                         : QuotaDecision::NoCoordinator;
}

// A request that is part of the reported holding can be used again at once; others are returned.
void QuotaBalance::giveBack(base::TimePoint now)
{
  expire(now);
  if (now < endsAt_ && held_ < reported_) {
    ++held_;
  } else {
    ++returned_;
  }
}

bool QuotaBalance::tryTakeWithoutCoordinator(const QuotaBound& bound,
                                             std::size_t entryVms,
                                             base::TimePoint now)
{
  while (!withoutCoordinator_.empty() && now >= withoutCoordinator_.front() + bound.window) {
    withoutCoordinator_.pop_front();
  }
  const double share =
    bound.withoutCoordinator / static_cast<double>(std::max<std::size_t>(1, entryVms));
  if (static_cast<double>(withoutCoordinator_.size()) + 1 > share) {
    return false;
  }
  withoutCoordinator_.push_back(now);
  return true;
}

bool QuotaBalance::isQuestionUrgent(base::TimePoint now)
{
  expire(now);
  closeUnansweredQuestion(now);
  return waiting_ > 0 && held_ == 0 && !askedSequence_ &&
         now >= std::max(nextQuestionAt_, exceededUntil_);
}

bool QuotaBalance::isQuestionDue(base::TimePoint now)
{
  expire(now);
  closeUnansweredQuestion(now);
  if (askedSequence_ || now < nextQuestionAt_) {
    return false;
  }
  const unsigned wanted = target(now);
  const bool endsSoon = held_ > 0 && now >= endsAt_ - kRenewalTime;
  return held_ != reported_ || returned_ > 0 || held_ > 2 * wanted || (endsSoon && wanted > 0) ||
         (held_ < (wanted + 1) / 2 && now >= exceededUntil_);
}

QuotaQuestion QuotaBalance::ask(const base::WorkspaceId& workspace,
                                std::uint64_t sequence,
                                base::TimePoint now)
{
  expire(now);
  const unsigned wanted = target(now);
  // Twice the demand is kept, so that a pause between two requests isn't mistaken for the end.
  const unsigned kept = std::min(held_, 2 * wanted + waiting_);
  returned_ += held_ - kept;
  held_ = kept;
  QuotaQuestion question{ workspace, held_, returned_, 0, 0 };
  question.waiting = waiting_ > held_ ? waiting_ - held_ : 0;
  question.expected = wanted > held_ ? wanted - held_ : 0;
  returned_ = 0;
  reported_ = held_;
  askedSequence_ = sequence;
  askedAt_ = now;
  askedForWaiting_ = question.waiting;
  return question;
}

void QuotaBalance::onLoan(std::uint64_t sequence, const QuotaLoan& loan, base::TimePoint now)
{
  if (askedSequence_ != sequence) {
    return;
  }
  askedSequence_.reset();
  unansweredQuestions_ = 0;
  expire(now);
  held_ += loan.count;
  reported_ += loan.count;
  endsAt_ = askedAt_ + kQuotaLoanDuration;
  expire(now);
  if (loan.count < askedForWaiting_) {
    exceededUntil_ = now + loan.retryIn;
  }
}

base::Duration QuotaBalance::retryIn(base::TimePoint now) const
{
  return std::max(base::Duration::zero(), std::max(exceededUntil_, nextQuestionAt_) - now);
}

void QuotaBalance::expire(base::TimePoint now)
{
  if (held_ > 0 && now >= endsAt_) {
    returned_ += held_;
    held_ = 0;
  }
}

void QuotaBalance::closeUnansweredQuestion(base::TimePoint now)
{
  if (!askedSequence_ || now < askedAt_ + kAnswerTimeout) {
    return;
  }
  askedSequence_.reset();
  ++unansweredQuestions_;
  if (unansweredQuestions_ >= kMaxUnansweredQuestions) {
    nextQuestionAt_ = now + kRetryInterval;
  }
}

void QuotaBalance::decayDemand(base::TimePoint now)
{
  demand_ *= std::exp(-secondsOf(now - demandAt_) / kDemandSeconds);
  demandAt_ = now;
}

unsigned QuotaBalance::target(base::TimePoint now)
{
  decayDemand(now);
  return demand_ < kMinDemand ? 0 : static_cast<unsigned>(std::ceil(demand_ * kAheadSeconds));
}

} // namespace sycamore::dispatch
