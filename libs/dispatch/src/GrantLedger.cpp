#include <dispatch/GrantLedger.h>

#include <algorithm>

namespace sycamore::dispatch {

void GrantLedger::onCallBegun(KeyNumber from, KeyNumber to, std::uint64_t fence)
{
  open_.push_back({ from, to, fence, {} });
}

void GrantLedger::onCallNotSent(KeyNumber from, KeyNumber to, std::uint64_t fence)
{
  endCall(from, to, fence);
}

void GrantLedger::onCallAnswered(KeyNumber from,
                                 KeyNumber to,
                                 std::uint64_t fence,
                                 base::TimePoint expiresAt)
{
  if (endCall(from, to, fence)) {
    onCallEnded(expiresAt, true);
  }
}

void GrantLedger::onCallUnanswered(KeyNumber from,
                                   KeyNumber to,
                                   std::uint64_t fence,
                                   base::TimePoint expiresAt)
{
  if (!endCall(from, to, fence)) {
    return;
  }
  onCallEnded(expiresAt, false);
  // A later grant of the same keys replaces an earlier one.
  std::erase_if(unanswered_, [&](const Grant& grant) {
    return grant.from == from && grant.to == to && grant.expiresAt <= expiresAt;
  });
  unanswered_.push_back({ from, to, fence, expiresAt });
}

bool GrantLedger::hasOpenCall(KeyNumber from, KeyNumber to) const
{
  return std::ranges::any_of(open_, [&](const Grant& grant) { return grant.overlaps(from, to); });
}

base::TimePoint GrantLedger::unansweredExpireAt(KeyNumber from, KeyNumber to) const
{
  base::TimePoint result{};
  for (const Grant& grant : unanswered_) {
    if (grant.overlaps(from, to)) {
      result = std::max(result, grant.expiresAt);
    }
  }
  return result;
}

base::TimePoint GrantLedger::allExpireAt() const
{
  return open_.empty() ? endedExpireAt_ : base::TimePoint::max();
}

void GrantLedger::onCallEnded(base::TimePoint expiresAt, bool isAnswered)
{
  if (expiresAt >= endedExpireAt_) {
    endedExpireAt_ = expiresAt;
    isLastAnswered_ = isAnswered;
  }
}

bool GrantLedger::endCall(KeyNumber from, KeyNumber to, std::uint64_t fence)
{
  const auto call = std::ranges::find_if(open_, [&](const Grant& grant) {
    return grant.from == from && grant.to == to && grant.fence == fence;
  });
  if (call == open_.end()) {
    return false;
  }
  open_.erase(call);
  return true;
}

} // namespace sycamore::dispatch
