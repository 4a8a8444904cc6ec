#include <ownership/LeaseTimings.h>

#include <ownership/OwnershipError.h>

namespace sycamore::ownership {

namespace {

void require(bool condition, const char* message)
{
  if (!condition) {
    throw OwnershipError(message);
  }
}

} // namespace

base::Duration LeaseTimings::driftSafeWait(base::Duration span) const
{
  return span + span * driftPercent_ / 100 + driftSlack_;
}

base::Duration LeaseTimings::minElapsed(base::Duration span) const
{
  return span * 100 / (100 + driftPercent_);
}

LeaseTimings::Builder& LeaseTimings::Builder::renewalInterval(base::Duration value)
{
  timings_.renewalInterval_ = value;
  return *this;
}

LeaseTimings::Builder& LeaseTimings::Builder::voteLifetime(base::Duration value)
{
  timings_.voteLifetime_ = value;
  return *this;
}

LeaseTimings::Builder& LeaseTimings::Builder::grantLifetime(base::Duration value)
{
  timings_.grantLifetime_ = value;
  return *this;
}

LeaseTimings::Builder& LeaseTimings::Builder::holderTimeout(base::Duration value)
{
  timings_.holderTimeout_ = value;
  return *this;
}

LeaseTimings::Builder& LeaseTimings::Builder::candidateStagger(base::Duration value)
{
  timings_.candidateStagger_ = value;
  return *this;
}

LeaseTimings::Builder& LeaseTimings::Builder::drift(int percent, base::Duration slack)
{
  timings_.driftPercent_ = percent;
  timings_.driftSlack_ = slack;
  return *this;
}

LeaseTimings LeaseTimings::Builder::build() const
{
  const base::Duration zero{};
  require(timings_.renewalInterval_ > zero, "the renewal interval must be positive");
  require(timings_.holderTimeout_ > zero, "the holder timeout must be positive");
  require(timings_.candidateStagger_ > zero, "the candidate stagger must be positive");
  require(timings_.driftPercent_ >= 0 && timings_.driftPercent_ <= 50,
          "the clock drift must be between 0 and 50 percent");
  require(timings_.driftSlack_ >= zero, "the clock drift slack must not be negative");
  require(timings_.voteLifetime_ >= 3 * timings_.renewalInterval_,
          "the vote lifetime must be at least three renewal intervals");
  require(timings_.grantLifetime_ > timings_.voteLifetime_ + 2 * timings_.renewalInterval_,
          "the grant lifetime must exceed the vote lifetime by more than two renewal intervals");
  return timings_;
}

} // namespace sycamore::ownership
