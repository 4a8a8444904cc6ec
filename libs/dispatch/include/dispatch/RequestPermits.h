#pragma once

#include <base/Time.h>
#include <dispatch/ColdStartShare.h>
#include <dispatch/PermitIssuer.h>
#include <dispatch/RequestLimit.h>

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

namespace sycamore::dispatch {

enum class PermitDecision
{
  // The request may be sent; it has used a permit if the server has a limit.
  Send,
  // A permit must be asked for, and the answer awaited.
  Ask,
  // A permit may be had in time: the answer to an earlier question or the time of the next one must
  // be awaited.
  Wait,
  // There will be no permit in time.
  Refuse
};

// A request that needs a permit.
struct PermitSeeker
{
  unsigned priority = 0;
  // Time until which the request has to be sent for its answer to be in time.
  base::TimePoint latestSendAt{};
};

// What this entry VM knows of a server's limit, and its permits to send requests there. Permits go
// to the more urgent ones of the requests that wait for them. While the VM that issues permits
// doesn't answer, this VM keeps to a share of the limit.
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

  // Decides about a request to the server, and takes a permit for it if there is one that no more
  // urgent request waits for.
  PermitDecision tryTake(const PermitSeeker& seeker, std::size_t entryVms, base::TimePoint now);
  // Returns the number of permits to ask for.
  unsigned wanted() const;
  // The question was answered.
  void onGrant(const PermitGrant& grant, base::TimePoint now);

  // Returns the time until a permit for a request of this priority may be had.
  base::Duration retryIn(unsigned priority, base::TimePoint now) const;

private:
  friend class PermitWait;

  PermitDecision decideWithoutPermit(const PermitSeeker& seeker,
                                     std::size_t entryVms,
                                     base::TimePoint now);
  void onDenied(base::TimePoint retryAt);
  // Returns the number of waiting requests that get permits before one of this priority.
  std::size_t waitingBefore(unsigned priority, base::TimePoint now) const;

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
  // Number of requests that wait for a permit, by priority.
  std::array<std::size_t, PriorityThrottle::kPriorityLevels> waiting_{};
  // The unanswered question, if any: for which priority and when it was asked.
  bool isAsking_ = false;
  unsigned askedLevel_ = 0;
  base::TimePoint askedAt_{};
  // Times of the next questions, by priority: a denial holds for less urgent requests too, but not
  // for more urgent ones.
  std::array<base::TimePoint, PriorityThrottle::kPriorityLevels> nextQuestionAt_{};
  unsigned unansweredQuestions_ = 0;
  // Shows which priorities have been denied for long here.
  PermitReserve reserve_;
  ColdStartShare share_;
};

// Registers a request as one that waits for a permit, for as long as this object exists.
class PermitWait
{
public:
  PermitWait(std::shared_ptr<RequestPermits> permits, unsigned priority);
  ~PermitWait();
  PermitWait(const PermitWait&) = delete;
  PermitWait& operator=(const PermitWait&) = delete;

private:
  std::shared_ptr<RequestPermits> permits_;
  unsigned level_;
};

} // namespace sycamore::dispatch
