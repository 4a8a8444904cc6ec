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
  // Longest hint of a server that is obeyed.
  base::Duration hintCap = std::chrono::seconds(30);
};

// Exponential backoff with full jitter: a random wait between 0 and base * 2^(attempt - 1), so that
// callers that failed together don't come back together. Without state, safe from all threads.
class Backoff
{
public:
  explicit Backoff(BackoffSettings settings = {});

  // The longest own wait before the attempt that follows `attemptsMade` (at least 1) attempts.
  base::Duration ceiling(unsigned attemptsMade) const;

  // The wait: the larger of the own delay and the server's hint, each with its cap.
  template<base::RandomSource Random>
  base::Duration delay(unsigned attemptsMade,
                       std::optional<base::Duration> hint,
                       Random& random) const
  {
    std::uniform_int_distribution<base::Duration::rep> spread(0, ceiling(attemptsMade).count());
    return std::max(base::Duration(spread(random)), cappedHint(hint));
  }

  // The longest wait, with the server's hint.
  base::Duration maxDelay(unsigned attemptsMade, std::optional<base::Duration> hint) const
  {
    return std::max(ceiling(attemptsMade), cappedHint(hint));
  }

private:
  base::Duration cappedHint(std::optional<base::Duration> hint) const;

  BackoffSettings settings_;
};

} // namespace sycamore::requests
