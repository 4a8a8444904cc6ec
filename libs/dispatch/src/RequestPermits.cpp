#include <dispatch/RequestPermits.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Time for which a permit holds, counted from the question, so that one that arrives late is void.
constexpr base::Duration kPermitLifetime = base::milliseconds(400);
// Time after which a question counts as unanswered.
constexpr base::Duration kAnswerTimeout = base::milliseconds(80);
// Number of unanswered questions after which this VM keeps to its share instead, and the interval
// of its questions from then on.
constexpr unsigned kMaxUnansweredQuestions = 3;
constexpr base::Duration kRetryInterval = base::milliseconds(500);
// Share of the limit that all VMs together use without permits. VMs that still get permits use the
// whole limit at the same time.
constexpr double kUnissuedShare = 0.4;
// Time for which this VM's own observation counts more than what the other VMs know.
constexpr base::Duration kObservationValidity = base::milliseconds(1500);
// Interval of the reports of a limit that stays the same.
constexpr base::Duration kReportInterval = base::milliseconds(200);
// Number of answers in a row without a limit that show its end.
constexpr unsigned kAnswersThatEndLimit = 2;
// Permits that are asked for at once: those of this time, and at most this number.
constexpr double kQuestionSeconds = 0.02;
constexpr double kMaxWanted = 32;

} // namespace

bool RequestPermits::onAnswer(std::optional<RequestLimit> limit,
                              base::TimePoint sentAt,
                              base::TimePoint now)
{
  if (limit) {
    const bool mustReport = limit != limit_ || now >= nextReportAt_;
    nextReportAt_ = mustReport ? now + kReportInterval : nextReportAt_;
    limit_ = limit;
    observedAt_ = now;
    knownAt_ = now;
    answersWithoutLimit_ = 0;
    return mustReport;
  }
  // A request that was sent before the limit was known may have been answered before it began.
  if (!limit_ || sentAt < knownAt_) {
    return false;
  }
  if (++answersWithoutLimit_ >= kAnswersThatEndLimit) {
    limit_.reset();
    observedAt_ = now;
  }
  return true;
}

void RequestPermits::setSharedLimit(std::optional<RequestLimit> limit, base::TimePoint now)
{
  if (limit == sharedLimit_) {
    return;
  }
  sharedLimit_ = limit;
  const bool isObserved = observedAt_ != base::TimePoint{};
  if (!isObserved || now >= observedAt_ + kObservationValidity) {
    limit_ = limit;
    knownAt_ = now;
    answersWithoutLimit_ = 0;
  }
}

PermitDecision RequestPermits::tryTake(std::size_t entryVms, base::TimePoint now)
{
  if (!limit_) {
    return PermitDecision::Send;
  }
  while (!permits_.empty() && now >= permits_.front()) {
    permits_.pop_front();
  }
  if (!permits_.empty()) {
    permits_.pop_front();
    return PermitDecision::Send;
  }
  return decideWithoutPermit(entryVms, now);
}

PermitDecision RequestPermits::decideWithoutPermit(std::size_t entryVms, base::TimePoint now)
{
  if (isAsking_ && now >= askedAt_ + kAnswerTimeout) {
    isAsking_ = false;
    ++unansweredQuestions_;
    nextQuestionAt_ = unansweredQuestions_ < kMaxUnansweredQuestions ? now : now + kRetryInterval;
  }
  const bool isWithoutIssuer = unansweredQuestions_ >= kMaxUnansweredQuestions;
  if (isWithoutIssuer && share_.tryTake(limit_->perSecond * kUnissuedShare, entryVms, now)) {
    return PermitDecision::Send;
  }
  if (isAsking_) {
    return isWithoutIssuer ? PermitDecision::Refuse : PermitDecision::Wait;
  }
  if (now < nextQuestionAt_) {
    return PermitDecision::Refuse;
  }
  isAsking_ = true;
  askedAt_ = now;
  return PermitDecision::Ask;
}

unsigned RequestPermits::wanted() const
{
  const double perSecond = limit_.value_or(RequestLimit{ 1 }).perSecond;
  return static_cast<unsigned>(std::clamp(perSecond * kQuestionSeconds, 1.0, kMaxWanted));
}

void RequestPermits::onGrant(const PermitGrant& grant, base::TimePoint now)
{
  if (!isAsking_) {
    return;
  }
  isAsking_ = false;
  unansweredQuestions_ = 0;
  nextQuestionAt_ = now + grant.retryIn;
  for (unsigned i = 0; i < grant.count; ++i) {
    permits_.push_back(askedAt_ + kPermitLifetime);
  }
}

base::Duration RequestPermits::retryIn(base::TimePoint now) const
{
  return std::max(base::Duration::zero(), nextQuestionAt_ - now);
}

} // namespace sycamore::dispatch
