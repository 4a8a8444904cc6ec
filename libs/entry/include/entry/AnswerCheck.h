#pragma once

#include <entry/HttpText.h>

#include <string>

namespace sycamore::entry {

enum class AnswerVerdict
{
  // The answer may be passed on to the caller.
  Usable,
  // The answer may be another server's or another request's.
  Unverified,
  // The status would tell the caller that the request hasn't run, which the server didn't confirm.
  UnconfirmedRefusal
};

// Checks an answer by which the server didn't refuse the request with this id.
AnswerVerdict checkAnswer(const ServerAnswer& answer, const std::string& requestId);

// Returns whether the status promises the caller that the request hasn't run.
bool promisesNotRun(unsigned status);

} // namespace sycamore::entry
