#pragma once

#include "BackendFaults.h"
#include "CancelRegistry.h"
#include "GrantCheck.h"
#include "Journal.h"
#include "Work.h"

#include <base/Time.h>
#include <test_http/FreezeGate.h>

#include <string>

namespace sycamore::backend_stub {

// Executes work. Checks grant and deadline before the start and again before the commit, and
// records the execution in the journal. Thread-safe. The objects passed to the constructor must
// outlive it.
class WorkRunner
{
public:
  struct Result
  {
    // "ran", "not-run" or "unknown", as in Sycamore-Outcome.
    std::string outcome;
    // Why the work did not complete; "" for "ran".
    std::string reason;
  };

  WorkRunner(base::Duration serviceTime,
             GrantCheck& grants,
             Journal& journal,
             BackendFaults& faults,
             const test_http::FreezeGate& gate);

  Result run(const Work& work);

  // Returns why the work may not start now ("expired", "not-owner", "stale-term"), or "" if it may.
  std::string refusal(const Work& work) const;

  bool cancel(const std::string& requestId) { return cancels_.cancel(requestId); }

private:
  Result execute(const Work& work, base::TimePoint start);
  Result commit(const Work& work, bool cancelled, std::uint64_t seq);

  const base::Duration serviceTime_;
  const base::SteadyClock clock_{};
  GrantCheck& grants_;
  Journal& journal_;
  BackendFaults& faults_;
  const test_http::FreezeGate& gate_;
  CancelRegistry cancels_;
};

} // namespace sycamore::backend_stub
