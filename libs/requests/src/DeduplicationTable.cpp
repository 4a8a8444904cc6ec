#include <requests/DeduplicationTable.h>

#include <algorithm>

namespace sycamore::requests {

namespace {

DeduplicationDecision refuse(Outcome outcome, Reason reason)
{
  return { DeduplicationVerdict::Refuse, outcome, reason, std::nullopt, {} };
}

std::size_t bytesOf(const StoredAnswer& answer)
{
  return answer.body.size() + answer.contentType.size();
}

} // namespace

DeduplicationTable::DeduplicationTable(DeduplicationSettings settings,
                                       base::TimePoint start,
                                       WallTime wallStart)
  : settings_(settings)
  , start_(start)
  , wallStart_(wallStart)
{
}

DeduplicationDecision DeduplicationTable::begin(const DeduplicationQuery& request,
                                                base::TimePoint now)
{
  const WallTime wallNow = wallAt(now);
  removeExpired(wallNow);
  const std::optional<Uuid7> id = Uuid7::parse(request.id);
  if (!id) {
    return refuse(Outcome::NotRun, Reason::BadRequest);
  }
  if (const auto existing = entries_.find(*id); existing != entries_.end()) {
    return decideResend(existing->second, request);
  }
  if (auto refusal = refuseByTime(request, *id, wallNow)) {
    return *std::move(refusal);
  }
  if (entries_.size() >= settings_.maxEntries) {
    return refuseWhenFull(wallNow);
  }
  entries_[*id].fingerprint = request.fingerprint;
  return { DeduplicationVerdict::Run, Outcome::Unknown, Reason::None, std::nullopt, {} };
}

void DeduplicationTable::markRan(std::string_view id, StoredAnswer answer, base::TimePoint now)
{
  const auto entry = find(id);
  if (entry == entries_.end() || entry->second.state == State::Ran) {
    return;
  }
  settle(entry, State::Ran, now);
  storeAnswer(entry, std::move(answer));
}

void DeduplicationTable::markUnknown(std::string_view id, base::TimePoint now)
{
  const auto entry = find(id);
  if (entry != entries_.end() && entry->second.state == State::InProgress) {
    settle(entry, State::Unknown, now);
  }
}

void DeduplicationTable::markNotRun(std::string_view id, base::TimePoint now)
{
  const auto entry = find(id);
  if (entry != entries_.end() && entry->second.state == State::InProgress) {
    removeEntry(entry);
  }
  removeExpired(wallAt(now));
}

WallTime DeduplicationTable::wallAt(base::TimePoint now) const
{
  return wallStart_ + std::chrono::floor<std::chrono::milliseconds>(now - start_);
}

std::optional<DeduplicationDecision> DeduplicationTable::refuseByTime(
  const DeduplicationQuery& request,
  const Uuid7& id,
  WallTime wallNow) const
{
  const auto skew = std::chrono::ceil<std::chrono::milliseconds>(settings_.clockSkew);
  if (id.time() > wallNow + skew) {
    return refuse(Outcome::NotRun, Reason::BadRequest);
  }
  if (id.time() + settings_.retention <= wallNow) {
    return refuse(Outcome::Unknown, Reason::ResendUnknown);
  }
  // Another table may have been responsible before `since`. A first send is accepted if its id may
  // be newer, given the clock skew; a resend only if its id is certainly newer.
  const WallTime since = wallAt(std::max(request.responsibleSince, start_));
  const WallTime oldest = request.attempt > 1 ? since + skew : since - skew;
  if (id.time() < oldest) {
    return refuse(Outcome::Unknown, Reason::ResendUnknown);
  }
  return std::nullopt;
}

DeduplicationDecision DeduplicationTable::decideResend(const Entry& entry,
                                                       const DeduplicationQuery& request) const
{
  if (entry.fingerprint != request.fingerprint) {
    return refuse(Outcome::NotRun, Reason::BadRequest);
  }
  switch (entry.state) {
    case State::InProgress:
      return refuse(Outcome::Unknown, Reason::InProgress);
    case State::Ran:
      return { DeduplicationVerdict::ReplayAnswer, Outcome::Ran, Reason::None, entry.answer, {} };
    case State::Unknown:
      break;
  }
  return refuse(Outcome::Unknown, Reason::ResendUnknown);
}

DeduplicationDecision DeduplicationTable::refuseWhenFull(WallTime wallNow) const
{
  DeduplicationDecision decision = refuse(Outcome::NotRun, Reason::Overloaded);
  decision.retryAfter = expiries_.empty() ? std::chrono::seconds(1)
                                          : base::Duration(expiries_.begin()->first - wallNow);
  return decision;
}

DeduplicationTable::Entries::iterator DeduplicationTable::find(std::string_view id)
{
  const std::optional<Uuid7> parsed = Uuid7::parse(id);
  return parsed ? entries_.find(*parsed) : entries_.end();
}

// Keeps the entry for the retention period after it was settled rather than after its id was
// issued: a resend may need the answer of a long request when its id is already older than that.
void DeduplicationTable::settle(Entries::iterator entry, State state, base::TimePoint now)
{
  const auto retention = std::chrono::ceil<std::chrono::milliseconds>(settings_.retention);
  const WallTime expiry = std::max(entry->first.time(), wallAt(now)) + retention;
  if (entry->second.expiry) {
    expiries_.erase({ *entry->second.expiry, entry->first });
  }
  entry->second.state = state;
  entry->second.expiry = expiry;
  expiries_.emplace(expiry, entry->first);
}

void DeduplicationTable::storeAnswer(Entries::iterator entry, StoredAnswer answer)
{
  Entry& stored = entry->second;
  stored.answer = std::move(answer);
  if (bytesOf(stored.answer) > std::min(settings_.maxStoredAnswerBytes, settings_.maxAnswerBytes)) {
    stored.answer = { stored.answer.status, {}, {}, false };
    return;
  }
  stored.body = bodies_.insert(bodies_.end(), entry->first);
  answerBytes_ += bytesOf(stored.answer);
  while (answerBytes_ > settings_.maxAnswerBytes) {
    dropBody(entries_.at(bodies_.front()));
  }
}

void DeduplicationTable::dropBody(Entry& entry)
{
  answerBytes_ -= bytesOf(entry.answer);
  bodies_.erase(*entry.body);
  entry.body.reset();
  entry.answer = { entry.answer.status, {}, {}, false };
}

void DeduplicationTable::removeEntry(Entries::iterator entry)
{
  if (entry->second.body) {
    dropBody(entry->second);
  }
  if (entry->second.expiry) {
    expiries_.erase({ *entry->second.expiry, entry->first });
  }
  entries_.erase(entry);
}

void DeduplicationTable::removeExpired(WallTime wallNow)
{
  while (!expiries_.empty() && expiries_.begin()->first <= wallNow) {
    removeEntry(entries_.find(expiries_.begin()->second));
  }
}

} // namespace sycamore::requests
