#pragma once

#include <base/Time.h>
#include <telemetry/BadAnswerCause.h>
#include <telemetry/RequestSample.h>

namespace sycamore::telemetry {

// How an answer counts towards the service-level objective.
struct AnswerClassification
{
  enum class Kind
  {
    Good,
    Bad,
    // Not counted: a correct refusal that the caller caused, or a request that the caller
    // cancelled.
    Excluded
  };

  Kind kind = Kind::Excluded;
  // Only meaningful for a bad answer.
  BadAnswerCause cause = BadAnswerCause::Other;
};

// Classifies an answer against a latency objective. `ownershipChanging` says whether keys of the
// service moved or had no owner shortly before.
AnswerClassification classifyAnswer(const RequestSample& sample,
                                    base::Duration objective,
                                    bool ownershipChanging);

} // namespace sycamore::telemetry
