#include <dispatch/RequestPermits.h>

#include <algorithm>
#include <numeric>
#include <utility>

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

PermitDecision RequestPermits::tryTake(const PermitSeeker& seeker,
                                       std::size_t entryVms,
                                       base::TimePoint now)
{
  if (!limit_) {
    return PermitDecision::Send;
  }
  while (!permits_.empty() && now >= permits_.front()) {
    permits_.pop_front();
  }
  if (permits_.size() > waitingBefore(seeker.priority, now)) {
    permits_.pop_front();
    reserve_.onGranted(seeker.priority, now);
    return PermitDecision::Send;
  }
  return decideWithoutPermit(seeker, entryVms, now);
}

PermitDecision RequestPermits::decideWithoutPermit(const PermitSeeker& seeker,
                                                   std::size_t entryVms,
                                                   base::TimePoint now)
{
  if (isAsking_ && now >= askedAt_ + kAnswerTimeout) {
    isAsking_ = false;
    ++unansweredQuestions_;
    nextQuestionAt_.fill(unansweredQuestions_ < kMaxUnansweredQuestions ? now
                                                                        : now + kRetryInterval);
  }
  const bool isWithoutIssuer = unansweredQuestions_ >= kMaxUnansweredQuestions;
  if (isWithoutIssuer && waitingBefore(seeker.priority, now) == 0 &&
      share_.tryTake(limit_->perSecond * kUnissuedShare, entryVms, now)) {
    return PermitDecision::Send;
  }
  if (isAsking_) {
    return isWithoutIssuer ? PermitDecision::Refuse : PermitDecision::Wait;
  }
  const unsigned level = priorityLevel(seeker.priority);
  if (now < nextQuestionAt_[level]) {
    const bool isInTime = nextQuestionAt_[level] < seeker.latestSendAt;
    return isInTime && !isWithoutIssuer ? PermitDecision::Wait : PermitDecision::Refuse;
  }
  isAsking_ = true;
  askedLevel_ = level;
  askedAt_ = now;
  return PermitDecision::Ask;
}

std::size_t RequestPermits::waitingBefore(unsigned priority, base::TimePoint now) const
{
  if (reserve_.isPassedOver(priority, limit_->perSecond, now)) {
    return 0;
  }
  return std::accumulate(
    waiting_.begin(), waiting_.begin() + priorityLevel(priority), std::size_t{ 0 });
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
  if (grant.count == 0) {
    reserve_.onDenied(askedLevel_, now);
    onDenied(now + grant.retryIn);
  } else {
    std::fill(nextQuestionAt_.begin(), nextQuestionAt_.begin() + askedLevel_ + 1, now);
  }
  for (unsigned i = 0; i < grant.count; ++i) {
    permits_.push_back(askedAt_ + kPermitLifetime);
  }
}

void RequestPermits::onDenied(base::TimePoint retryAt)
{
  nextQuestionAt_[askedLevel_] = retryAt;
  for (unsigned level = askedLevel_ + 1; level < nextQuestionAt_.size(); ++level) {
    nextQuestionAt_[level] = std::max(nextQuestionAt_[level], retryAt);
  }
}

base::Duration RequestPermits::retryIn(unsigned priority, base::TimePoint now) const
{
  return std::max(base::Duration::zero(), nextQuestionAt_[priorityLevel(priority)] - now);
}

PermitWait::PermitWait(std::shared_ptr<RequestPermits> permits, unsigned priority)
  : permits_(std::move(permits))
  , level_(priorityLevel(priority))
{
  ++permits_->waiting_[level_];
}

PermitWait::~PermitWait()
{
  --permits_->waiting_[level_];
}

} // namespace sycamore::dispatch
