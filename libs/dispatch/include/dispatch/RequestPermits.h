#pragma once

#include <base/Time.h>
#include <dispatch/ColdStartShare.h>
#include <dispatch/PermitIssuer.h>
#include <dispatch/RequestLimit.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace sycamore::dispatch {

enum class PermitDecision
{
  // The request may be sent; it has used a permit if the server has a limit.
  Send,
  // A permit must be asked for, and the answer awaited.
  Ask,
  // The answer to an earlier question must be awaited.
  Wait,
  // There will be no permit for a time.
  Refuse
};

// What this entry VM knows of a server's limit, and its permits to send requests there. While the
// VM that issues permits doesn't answer, it keeps to a share of the limit.
class RequestPermits
{
public:
  // `phase` in [0, 1) differs between entry VMs.
  explicit RequestPermits(double phase)
    : share_(phase)
  {
  }

  // An answer of the server to a request of this VM, sent at `sentAt`, named this limit, or none.
  // Returns whether to tell the other entry VMs.
  bool onAnswer(std::optional<RequestLimit> limit, base::TimePoint sentAt, base::TimePoint now);
  // The limit that the other entry VMs know of, or none.
  void setSharedLimit(std::optional<RequestLimit> limit, base::TimePoint now);

  std::optional<RequestLimit> limit() const { return limit_; }

  // Decides about a request to the server, and takes a permit for it if there is one.
  PermitDecision tryTake(std::size_t entryVms, base::TimePoint now);
  // Returns the number of permits to ask for.
  unsigned wanted() const;
  // The question was answered.
  void onGrant(const PermitGrant& grant, base::TimePoint now);

  // Returns the time until a permit may be had.
  base::Duration retryIn(base::TimePoint now) const;

private:
  PermitDecision decideWithoutPermit(std::size_t entryVms, base::TimePoint now);

  std::optional<RequestLimit> limit_;
  // The last argument of setSharedLimit().
  std::optional<RequestLimit> sharedLimit_;
  // Time since which the limit has been known, and of the last answer that showed it or its end.
  base::TimePoint knownAt_{};
  base::TimePoint observedAt_{};
  unsigned answersWithoutLimit_ = 0;
  base::TimePoint nextReportAt_{};
  // Times at which the permits expire, oldest first.
  std::deque<base::TimePoint> permits_;
  bool isAsking_ = false;
  base::TimePoint askedAt_{};
  base::TimePoint nextQuestionAt_{};
  unsigned unansweredQuestions_ = 0;
  ColdStartShare share_;
};

} // namespace sycamore::dispatch
