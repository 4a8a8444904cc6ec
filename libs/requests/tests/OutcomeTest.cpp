#include <doctest/doctest.h>
#include <requests/AttemptClassifier.h>

using namespace sycamore::requests;

namespace {

AttemptReport refusal(std::string_view outcome, std::string_view reason)
{
  return { AttemptProgress::RefusedByServer, AttemptEnd::ConnectionLost, outcome, reason };
}

} // namespace

// Guards against reporting "not run" for a request that may have reached a server.
TEST_CASE("only unsent and refused requests are reported as not run")
{
  using P = AttemptProgress;
  const auto outcome = [](P progress) { return classifyAttempt({ progress, {}, {}, {} }).outcome; };
  CHECK(outcome(P::NothingSent) == Outcome::NotRun);
  CHECK(outcome(P::BytesMayHaveArrived) == Outcome::Unknown);
  CHECK(outcome(P::TruncatedAnswer) == Outcome::Unknown);
  CHECK(outcome(P::CompleteAnswer) == Outcome::Ran);
  CHECK(outcome(P::RefusedByServer) == Outcome::Unknown);
  CHECK(classifyAttempt(refusal("not-run", "cold")) ==
        Classification{ Outcome::NotRun, Reason::Cold });
  CHECK(classifyAttempt(refusal("not-run", "stale-term")).reason == Reason::NotHolder);
  CHECK(classifyAttempt(refusal("unknown", "internal")).outcome == Outcome::Unknown);
  CHECK(classifyAttempt(refusal("Not-Run!", "cold")).outcome == Outcome::Unknown);
}

// Guards against a refused retry that hides that an earlier attempt may have run.
TEST_CASE("an unknown attempt stays unknown after a refused one")
{
  CHECK(combineOutcomes(Outcome::Unknown, Outcome::NotRun) == Outcome::Unknown);
  CHECK(combineOutcomes(Outcome::NotRun, Outcome::NotRun) == Outcome::NotRun);
  CHECK(combineOutcomes(Outcome::NotRun, Outcome::Unknown) == Outcome::Unknown);
  CHECK(combineOutcomes(Outcome::Unknown, Outcome::Ran) == Outcome::Ran);
}

// Guards against a reason whose header value callers cannot parse.
TEST_CASE("every reason has a distinct name and an error status")
{
  for (int i = 1; i <= static_cast<int>(Reason::Internal); ++i) {
    const auto reason = static_cast<Reason>(i);
    CHECK(parseReason(reasonName(reason)) == reason);
    CHECK(httpStatus(reason) >= 400);
  }
  CHECK_FALSE(parseReason("").has_value());
  CHECK(parseOutcome(outcomeName(Outcome::NotRun)) == Outcome::NotRun);
}
