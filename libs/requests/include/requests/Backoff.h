#pragma once

#include <base/Random.h>
#include <base/Time.h>

#include <algorithm>
#include <optional>
#include <random>

namespace sycamore::requests {

struct BackoffSettings
{
  base::Duration base = base::milliseconds(5);
  base::Duration cap = base::milliseconds(1000);
  // Upper limit on the delay that a server's hint can cause.
  base::Duration hintCap = std::chrono::seconds(30);
};

// Exponential backoff with full jitter: a random delay between 0 and base * 2^(attempt - 1), so
// that callers that failed at the same time do not retry at the same time. Stateless and
// thread-safe.
class Backoff
{
public:
  explicit Backoff(BackoffSettings settings = {});

  // Returns the upper limit of the random delay after `attemptsMade` attempts (at least 1).
  base::Duration ceiling(unsigned attemptsMade) const;

  // Returns the larger of the random delay and the server's hint, each limited by its cap.
  template<base::RandomSource Random>
  base::Duration delay(unsigned attemptsMade,
                       std::optional<base::Duration> hint,
                       Random& random) const
  {
    std::uniform_int_distribution<base::Duration::rep> jitter(0, ceiling(attemptsMade).count());
    return std::max(base::Duration(jitter(random)), cappedHint(hint));
  }

  // Returns the longest delay that delay() can return for these arguments.
  base::Duration maxDelay(unsigned attemptsMade, std::optional<base::Duration> hint) const
  {
    return std::max(ceiling(attemptsMade), cappedHint(hint));
  }

private:
  base::Duration cappedHint(std::optional<base::Duration> hint) const;

  BackoffSettings settings_;
};

} // namespace sycamore::requests
