#pragma once

#include <base/Time.h>
#include <dispatch/QuotaBound.h>
#include <dispatch/QuotaLoan.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

namespace sycamore::dispatch {

enum class QuotaDecision
{
  // The request may run; it has used one that the VM holds.
  Run,
  // The coordinator's answer must be awaited.
  Wait,
  // The workspace has used its quota.
  Exceeded,
  // The coordinator doesn't answer.
  NoCoordinator
};

// A request that needs a part of its workspace's quota.
struct QuotaSeeker
{
  // Whether nothing has been decided about the request before.
  bool isFirst = true;
  // Time until which it may wait, also for the next part after a denial: the requests of a few
  // callers don't come as evenly as the quota accrues.
  base::TimePoint waitEndsAt{};
};

// The requests that this entry VM holds for a workspace, and its questions for more. It asks ahead
// of the demand that it sees, so that few requests wait and a change of the coordinator is bridged.
class QuotaBalance
{
public:
  // Decides about a request, and takes one that the VM holds for it.
  QuotaDecision tryTake(const QuotaBound& bound,
                        const QuotaSeeker& seeker,
                        std::size_t entryVms,
                        base::TimePoint now);

  // A request that was taken hasn't run.
  void giveBack(base::TimePoint now);

  // Returns whether requests wait for which nothing has been asked.
  bool isQuestionUrgent(base::TimePoint now);
  // Returns whether the coordinator should be told what the VM holds and expects to need.
  bool isQuestionDue(base::TimePoint now);
  QuotaQuestion ask(const base::WorkspaceId& workspace,
                    std::uint64_t sequence,
                    base::TimePoint now);
  // The answer to the question with this number.
  void onLoan(std::uint64_t sequence, const QuotaLoan& loan, base::TimePoint now);

  // Returns the time until the coordinator may be asked again.
  base::Duration retryIn(base::TimePoint now) const;

private:
  friend class QuotaWait;

  void expire(base::TimePoint now);
  void closeUnansweredQuestion(base::TimePoint now);
  bool tryTakeWithoutCoordinator(const QuotaBound& bound,
                                 std::size_t entryVms,
                                 base::TimePoint now);
  void decayDemand(base::TimePoint now);
  // Returns the number of requests to hold for the expected demand.
  unsigned target(base::TimePoint now);

  unsigned held_ = 0;
  // Time at which the held requests end.
  base::TimePoint endsAt_{};
  // Requests to give back with the next question.
  unsigned returned_ = 0;
  // Unused requests that the VM holds by its last question and the loans since.
  unsigned reported_ = 0;
  unsigned waiting_ = 0;
  // The unanswered question, if any.
  std::optional<std::uint64_t> askedSequence_;
  base::TimePoint askedAt_{};
  unsigned askedForWaiting_ = 0;
  unsigned unansweredQuestions_ = 0;
  base::TimePoint nextQuestionAt_{};
  base::TimePoint exceededUntil_{};
  // Requests per second, as an exponentially decaying mean.
  double demand_ = 0;
  base::TimePoint demandAt_{};
  // Times of the requests that ran without the coordinator, within the last window.
  std::deque<base::TimePoint> withoutCoordinator_;
};

// Registers a request as one that waits, for as long as this object exists.
class QuotaWait
{
public:
  explicit QuotaWait(std::shared_ptr<QuotaBalance> balance)
    : balance_(std::move(balance))
  {
    ++balance_->waiting_;
  }
  ~QuotaWait() { --balance_->waiting_; }
  QuotaWait(const QuotaWait&) = delete;
  QuotaWait& operator=(const QuotaWait&) = delete;

private:
  std::shared_ptr<QuotaBalance> balance_;
};

} // namespace sycamore::dispatch
