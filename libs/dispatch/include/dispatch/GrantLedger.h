#pragma once

#include <base/Time.h>
#include <dispatch/OwnershipRecord.h>

#include <vector>

namespace sycamore::dispatch {

// Keeps until when one server process may hold keys by the grants that were sent to it. A grant may
// arrive as long as its call is open, however late the call is given up, and its lifetime counts
// from the arrival.
class GrantLedger
{
public:
  // A call that grants these keys begins.
  void onCallBegun(KeyNumber from, KeyNumber to, std::uint64_t fence);

  // The oldest open call for these keys has ended without having been sent.
  void onCallNotSent(KeyNumber from, KeyNumber to, std::uint64_t fence);
  // It has been answered. A grant that has arrived expires by `expiresAt`.
  void onCallAnswered(KeyNumber from, KeyNumber to, std::uint64_t fence, base::TimePoint expiresAt);
  // It has been sent and has got no answer, so that the server may carry it out later.
  void onCallUnanswered(KeyNumber from,
                        KeyNumber to,
                        std::uint64_t fence,
                        base::TimePoint expiresAt);

  // Returns whether a grant of one of these keys may still arrive.
  bool hasOpenCall(KeyNumber from, KeyNumber to) const;
  // Returns the time at which the unanswered grants of these keys have expired.
  base::TimePoint unansweredExpireAt(KeyNumber from, KeyNumber to) const;
  // Returns the time at which all grants have expired; the latest time there is while a call is
  // open.
  base::TimePoint allExpireAt() const;
  // Returns whether the grant that expires last was answered.
  bool isLastAnswered() const { return isLastAnswered_; }

private:
  struct Grant
  {
    KeyNumber from = 0;
    KeyNumber to = 0;
    std::uint64_t fence = 0;
    base::TimePoint expiresAt{};

    bool overlaps(KeyNumber first, KeyNumber last) const { return from <= last && first <= to; }
  };

  void onCallEnded(base::TimePoint expiresAt, bool isAnswered);
  // Removes the oldest open call for these keys. Returns false if there is none.
  bool endCall(KeyNumber from, KeyNumber to, std::uint64_t fence);

  std::vector<Grant> open_;
  std::vector<Grant> unanswered_;
  base::TimePoint endedExpireAt_{};
  bool isLastAnswered_ = false;
};

} // namespace sycamore::dispatch
