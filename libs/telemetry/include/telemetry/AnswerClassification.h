#pragma once

#include <base/Time.h>
#include <telemetry/BadAnswerCause.h>
#include <telemetry/RequestSample.h>

namespace sycamore::telemetry {

// What an answer counts as.
struct AnswerClassification
{
  enum class Kind
  {
    Good,
    Bad,
    // A correct refusal that the caller caused, or a request that the caller gave up.
    Excluded
  };

  Kind kind = Kind::Excluded;
  // Of a bad answer.
  BadAnswerCause cause = BadAnswerCause::Other;
};

// Judges an answer against a latency objective; moving says whether keys of the service moved or
// had no owner shortly before.
AnswerClassification classifyAnswer(const RequestSample& sample,
                                    base::Duration objective,
                                    bool ownershipChanging);

} // namespace sycamore::telemetry
