#pragma once

#include <base/Time.h>

namespace sycamore::platform {

// Token bucket that is refilled at a constant rate up to its capacity. Not thread-safe.
class TokenBucket
{
public:
  // Starts full.
  TokenBucket(double tokensPerSecond, double capacity, base::TimePoint now);

  // Keeps the current tokens, up to the new capacity.
  void setRate(double tokensPerSecond, double capacity, base::TimePoint now);

  // Takes one token if at least `reserve` tokens are left afterwards; returns whether it did.
  bool take(double reserve, base::TimePoint now);

  // Takes tokens even if there are too few; the level may become negative, down to minus the
  // capacity.
  void forceTake(double tokens, base::TimePoint now);

  // Returns the time at which take() with the reserve can succeed if no other token is taken
  // before.
  base::TimePoint nextTakeAt(double reserve, base::TimePoint now) const;

  double capacity() const { return capacity_; }

private:
  double levelAt(base::TimePoint now) const;
  void refill(base::TimePoint now);

  double tokensPerSecond_;
  double capacity_;
  double level_;
  base::TimePoint refilledAt_;
};

} // namespace sycamore::platform
