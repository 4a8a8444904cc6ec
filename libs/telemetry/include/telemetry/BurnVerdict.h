#pragma once

#include <base/Time.h>
#include <telemetry/BurnCause.h>
#include <telemetry/RequestSample.h>

namespace sycamore::telemetry {

// What an answer counts as.
struct BurnVerdict
{
  enum class Kind
  {
    Good,
    Bad,
    // A correct refusal that the caller caused, or a request that the caller gave up.
    Neither
  };

  Kind kind = Kind::Neither;
  // Of a bad answer.
  BurnCause cause = BurnCause::Other;
};

// Judges an answer against a latency objective; moving says whether keys of the service moved or
// had no owner shortly before.
BurnVerdict judgeAnswer(const RequestSample& sample, base::Duration objective, bool moving);

} // namespace sycamore::telemetry
