#include <entry/CoordinatorRole.h>

#include <entry/OwnerChangeLog.h>
#include <entry/OwnershipAnswers.h>
#include <entry/ServerPool.h>
#include <entry/SteadyTime.h>

#include <wire/ServerProtocol.h>
#include <wire/WireError.h>

#include <cmath>

namespace sycamore::entry {

namespace {

// Delay before an unanswered write is retried.
constexpr base::Duration kWriteRetryDelay = base::milliseconds(200);
// Time for connecting to a server that is to release keys, after which another attempt is made.
constexpr base::Duration kReleaseConnectTimeout = base::milliseconds(1000);
// Bytes that the body of a server's answer to a grant or a release may have. Only its head counts.
constexpr std::uint64_t kMaxOrderAnswerBytes = 16UL * 1024;

std::int64_t milliseconds(base::Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t millisecondsFrom(base::TimePoint from, base::TimePoint to)
{
  return milliseconds(to - from);
}

} // namespace

CoordinatorRole::CoordinatorRole(CallClient& calls,
                                 StoreClient& store,
                                 EventLog& log,
                                 ByteCounts& bytes,
                                 const base::DomainId& domain,
                                 dispatch::CoordinatorSettings settings,
                                 dispatch::Coordinator self,
                                 RecordConfirmedListener recordConfirmedListener,
                                 OtherCoordinatorListener otherCoordinatorListener)
  : calls_(calls)
  , store_(store)
  , log_(log)
  , bytes_(bytes)
  , domain_(domain)
  , settings_(settings)
  , self_(std::move(self))
  , recordConfirmedListener_(std::move(recordConfirmedListener))
  , otherCoordinatorListener_(std::move(otherCoordinatorListener))
  , storeContact_({}, clockNow())
{
}

void CoordinatorRole::tryTakeover(std::uint64_t knownEpoch)
{
  if (takeoverPending_ || active()) {
    return;
  }
  takeoverPending_ = true;
  store_.read(
    wire::Kind::Ownership,
    wire::kOwnershipName,
    wire::ReadConsistency::Current,
    [this, knownEpoch](const StoreAnswer& answer) { onRecordReadForTakeover(answer, knownEpoch); });
}

std::optional<CoordinatorRole::StoredRecord> CoordinatorRole::readRecord(const StoreAnswer& answer)
{
  if (answer.outcome == StoreOutcome::Missing) {
    return StoredRecord{};
  }
  if (answer.outcome != StoreOutcome::Done) {
    return std::nullopt;
  }
  try {
    const wire::StoreObject object = wire::readObject(answer.body, answer.era);
    return StoredRecord{ dispatch::readOwnershipRecord(wire::ownContent(object)), object.revision };
  } catch (const base::Error& error) {
    log_.write("ownership_unreadable", { { "error", error.what() } });
    return std::nullopt;
  }
}

void CoordinatorRole::onRecordReadForTakeover(const StoreAnswer& answer, std::uint64_t knownEpoch)
{
  const auto stored = readRecord(answer);
  if (!stored) {
    takeoverPending_ = false;
    return;
  }
  const dispatch::OwnershipRecord& record = stored->record;
  const bool hadCoordinator = !record.coordinator.vm.value().empty();
  const bool wasFormerHere = hadCoordinator && wasHere(record.coordinator);
  if (record.epoch > knownEpoch && hadCoordinator && !wasFormerHere) {
    // Another process has just become the coordinator; leave it time for its first heartbeat.
    takeoverPending_ = false;
    otherCoordinatorListener_(record, stored->revision);
    return;
  }
  const bool isRestored = dispatch::isFromBeforeRestoration(record, answer.era);
  writeTakeover(dispatch::planTakeover(record, answer.era, knownEpoch, self_, wasFormerHere),
                stored->revision,
                isRestored);
}

// Other VMs apply the change to their copies unless `isRestored`: these are newer than the record
// of the restored store, or differ from it.
void CoordinatorRole::writeTakeover(const dispatch::Takeover& takeover,
                                    std::uint64_t revision,
                                    bool isRestored)
{
  const base::TimePoint sentAt = clockNow();
  store_.write(
    wire::Kind::Ownership,
    wire::kOwnershipName,
    revision,
    dispatch::writeOwnershipRecord(takeover.record),
    [this, takeover, revision, isRestored, sentAt, term = term_](const StoreAnswer& written) {
      takeoverPending_ = false;
      if (written.outcome != StoreOutcome::Done || term != term_) {
        return;
      }
      const base::TimePoint now = clockNow();
      try {
        const wire::StoreObject object = wire::readObject(written.body, written.era);
        const dispatch::OwnershipRecord& record = takeover.record;
        beginTerm(record,
                  object.revision,
                  takeover.haveOthersStopped ? now : now + settings_.confirmationTimeout,
                  sentAt);
        recordConfirmedListener_(
          record, { isRestored ? 0 : revision, object.revision, {}, self_, record.epoch });
      } catch (const wire::WireError& error) {
        log_.write("store_answer_unreadable", { { "error", error.what() } });
      }
    });
}

void CoordinatorRole::onStoreRestored()
{
  if (active()) {
    mustContinue_ = true;
  }
}

// Writes the own record over that of the restored store. Without a recent confirmation another VM
// may have moved keys by writes that the store has lost.
void CoordinatorRole::continueAfterRestoration(base::TimePoint now)
{
  if (!coordinator_->isConfirmed(now)) {
    resign("the store came back from a copy and had not confirmed this VM before");
    return;
  }
  if (takeoverPending_ || now < nextWriteAt_) {
    return;
  }
  takeoverPending_ = true;
  nextWriteAt_ = now + kWriteRetryDelay;
  store_.read(wire::Kind::Ownership,
              wire::kOwnershipName,
              wire::ReadConsistency::Current,
              [this, term = term_](const StoreAnswer& answer) {
                if (term == term_) {
                  onRecordReadForContinuation(answer);
                } else {
                  takeoverPending_ = false;
                }
              });
}

void CoordinatorRole::onRecordReadForContinuation(const StoreAnswer& answer)
{
  const auto stored = readRecord(answer);
  const bool mayWrite = stored && coordinator_->isConfirmed(clockNow());
  if (!mayWrite) {
    takeoverPending_ = false;
    return;
  }
  const bool isOwn = stored->record.coordinator == self_;
  if (!isOwn && !dispatch::isFromBeforeRestoration(stored->record, answer.era)) {
    takeoverPending_ = false;
    resign("another entry VM has taken over since the store came back");
    return;
  }
  log_.write("coordinator_continues",
             { { "era", answer.era },
               { "epoch", coordinator_->record().epoch },
               { "stored_epoch", stored->record.epoch } });
  writeTakeover(
    dispatch::planContinuation(coordinator_->confirmedRecord(), stored->record, answer.era),
    stored->revision,
    true);
}

// An earlier process at this address has ended, since this one could bind the port that a running
// process keeps for itself.
bool CoordinatorRole::wasHere(const dispatch::Coordinator& coordinator) const
{
  return coordinator.vm == self_.vm && coordinator.address == self_.address;
}

void CoordinatorRole::beginTerm(dispatch::OwnershipRecord record,
                                std::uint64_t revision,
                                base::TimePoint previousCoordinatorsStopAt,
                                base::TimePoint confirmedAt)
{
  const base::TimePoint now = clockNow();
  ++term_;
  revision_ = revision;
  writePending_ = false;
  recordChanged_ = false;
  confirmationPending_ = false;
  mustContinue_ = false;
  nextWriteAt_ = {};
  storeReachable_ = true;
  storeContact_ = dispatch::StoreContact({}, confirmedAt);
  log_.write("coordinator_began",
             { { "epoch", record.epoch },
               { "revision", revision },
               { "others_grant_ms", millisecondsFrom(now, previousCoordinatorsStopAt) },
               { "confirmed_ago_ms", millisecondsFrom(confirmedAt, now) } });
  coordinator_ = std::make_unique<dispatch::KeyCoordinator>(
    settings_, std::move(record), previousCoordinatorsStopAt, confirmedAt);
}

void CoordinatorRole::resign(const char* reason)
{
  if (!active()) {
    return;
  }
  log_.write("coordinator_resigned",
             { { "why", reason }, { "epoch", coordinator_->record().epoch } });
  coordinator_.reset();
  ++term_;
}

void CoordinatorRole::tick(base::TimePoint now)
{
  if (!active()) {
    return;
  }
  if (mustContinue_) {
    continueAfterRestoration(now);
  } else if (storeContact_.isReadDue(now) && !confirmationPending_) {
    requestConfirmation();
  }
  if (!active()) {
    return;
  }
  const dispatch::CoordinatorActions actions = coordinator_->tick(now);
  for (const dispatch::GrantOrder& order : actions.grants) {
    sendGrant(order);
  }
  for (const dispatch::ReleaseOrder& order : actions.releases) {
    sendRelease(order);
  }
  logOwnerChanges(log_, actions.ownerChanges, coordinator_->record().epoch, now);
  logSpreads(actions.spreads);
  recordChanged_ = recordChanged_ || actions.mustWriteRecord;
  if (recordChanged_ && !writePending_ && !mustContinue_ && now >= nextWriteAt_) {
    writeRecord();
  }
}

void CoordinatorRole::logSpreads(const std::vector<dispatch::HotSpanSpread>& spreads)
{
  for (const dispatch::HotSpanSpread& spread : spreads) {
    ++hotSpanSpreads_;
    log_.write("hot_span_spread",
               { { "service", spread.service.value() },
                 { "from", spread.from },
                 { "to", spread.to },
                 { "keys", spread.keys },
                 { "per_second", std::lround(spread.rate) },
                 { "moves", spread.moves },
                 { "servers", spread.servers },
                 { "ranges", coordinator_->managedRanges() } });
  }
}

void CoordinatorRole::writeRecord()
{
  writePending_ = true;
  const std::string content = dispatch::writeOwnershipRecord(coordinator_->record());
  const base::TimePoint sentAt = clockNow();
  store_.write(wire::Kind::Ownership,
               wire::kOwnershipName,
               revision_,
               content,
               [this, sentAt, content, term = term_](const StoreAnswer& answer) {
                 if (term == term_) {
                   onWritten(answer, sentAt, content);
                 }
               });
}

void CoordinatorRole::onWritten(const StoreAnswer& answer,
                                base::TimePoint sentAt,
                                const std::string& content)
{
  writePending_ = false;
  const base::TimePoint now = clockNow();
  nextWriteAt_ = now + kWriteRetryDelay;
  if (answer.outcome != StoreOutcome::Done && answer.outcome != StoreOutcome::Conflict) {
    storeReachable_ = false;
    return;
  }
  storeReachable_ = true;
  try {
    const wire::StoreObject object = wire::readObject(answer.body, answer.era);
    // A conflict with identical content means that this VM's write succeeded and its answer was
    // lost.
    if (answer.outcome == StoreOutcome::Conflict && wire::ownContent(object) != content) {
      resign("another entry VM has changed the ownership record");
      return;
    }
    dispatch::OwnershipDelta delta{
      revision_, object.revision, {}, self_, coordinator_->record().epoch
    };
    revision_ = object.revision;
    recordChanged_ = false;
    nextWriteAt_ = now;
    recordConfirmation(sentAt);
    delta.changes = coordinator_->onRecordWritten(now);
    recordConfirmedListener_(coordinator_->record(), delta);
  } catch (const wire::WireError& error) {
    log_.write("store_answer_unreadable", { { "error", error.what() } });
  }
}

void CoordinatorRole::requestConfirmation()
{
  confirmationPending_ = true;
  const base::TimePoint sentAt = clockNow();
  storeContact_.onReadSent(sentAt);
  store_.read(wire::Kind::Ownership,
              wire::kOwnershipName,
              wire::ReadConsistency::Current,
              [this, sentAt, term = term_](const StoreAnswer& answer) {
                if (term == term_) {
                  confirmationPending_ = false;
                  onConfirmationRead(answer, sentAt);
                }
              });
}

void CoordinatorRole::onConfirmationRead(const StoreAnswer& answer, base::TimePoint sentAt)
{
  storeReachable_ = answer.outcome == StoreOutcome::Done;
  if (!storeReachable_) {
    return;
  }
  try {
    const wire::StoreObject object = wire::readObject(answer.body, answer.era);
    const auto record = dispatch::readOwnershipRecord(wire::ownContent(object));
    mustContinue_ = mustContinue_ || dispatch::isFromBeforeRestoration(record, answer.era);
    if (mustContinue_) {
      return;
    }
    if (record.coordinator != self_) {
      resign("the ownership record names another entry VM as coordinator");
      return;
    }
    recordConfirmation(sentAt);
  } catch (const base::Error& error) {
    log_.write("ownership_unreadable", { { "error", error.what() } });
  }
}

void CoordinatorRole::recordConfirmation(base::TimePoint sentAt)
{
  storeContact_.onAnswered(sentAt);
  coordinator_->onCoordinatorConfirmed(sentAt);
}

bool CoordinatorRole::hasRecentStoreContact(base::TimePoint now) const
{
  return storeReachable_ && storeContact_.isRecent(now);
}

// The call carries an id that no other has.
Call CoordinatorRole::callTo(const dispatch::BackendServer& server, std::string path)
{
  Call call;
  call.endpoint = endpointOf(server);
  call.method = "POST";
  call.path = std::move(path);
  call.headers = wire::serverHeader(server.id);
  call.opening = { wire::grantPath(),
                   wire::noServerHeader(),
                   wire::emptyGrantBody(settings_.grantDuration) };
  call.maxAnswerBytes = kMaxOrderAnswerBytes;
  call.requestId = std::to_string(self_.run) + "-" + std::to_string(++callsToServers_);
  return call;
}

void CoordinatorRole::sendGrant(const dispatch::GrantOrder& order)
{
  Call call = callTo(order.server, wire::grantPath());
  call.body = wire::grantBody(order, settings_.grantDuration);
  call.timeout = settings_.callTimeout;
  call.maySend = [this, order, term = term_] {
    return term == term_ && coordinator_->maySend(order, clockNow());
  };
  const std::string id = call.requestId;
  const base::TimePoint begunAt = clockNow();
  calls_.call(
    std::move(call), [this, order, id, begunAt, term = term_](const ExchangeResult& result) {
      bytes_.add("grant", order.server.domain == domain_, result.bytes);
      const dispatch::GrantAnswer answer = grantAnswerOf(result);
      if (answer != dispatch::GrantAnswer::Accepted) {
        log_.write("grant_failed",
                   { { "id", id },
                     { "server", dispatch::incarnationOf(order.server.id, order.server.born) },
                     { "from", order.from },
                     { "to", order.to },
                     { "fence", order.fence },
                     { "status", result.answer.status },
                     { "end", static_cast<int>(result.end) },
                     { "open_ms", millisecondsFrom(begunAt, clockNow()) },
                     { "connection_reused", result.reused },
                     { "connection_ms", milliseconds(result.connectionAge) },
                     { "idle_closed", result.idleClosed } });
      }
      if (term != term_) {
        return;
      }
      const bool isAmbiguous = result.end == ExchangeEnd::Malformed && result.reused;
      const bool isForeign =
        result.end == ExchangeEnd::Answered && answer == dispatch::GrantAnswer::OutcomeUnknown;
      if (isAmbiguous || isForeign) {
        // What is wrong with one connection may be wrong with the others.
        calls_.closeIdle(endpointOf(order.server));
      }
      if (answer == dispatch::GrantAnswer::OtherServer) {
        coordinator_->onServerProcessEnded(order.server);
      }
      coordinator_->onGrantAnswered(order, answer, clockNow());
    });
}

void CoordinatorRole::sendRelease(const dispatch::ReleaseOrder& order)
{
  Call call = callTo(order.server, wire::releasePath());
  call.body = wire::releaseBody(order);
  call.timeout = settings_.releaseTimeout;
  call.connectTimeout = kReleaseConnectTimeout;
  call.maySend = [this, term = term_] {
    return term == term_ && coordinator_->isConfirmed(clockNow());
  };
  call.needsNewConnection = true;
  calls_.call(std::move(call), [this, order, term = term_](const ExchangeResult& result) {
    bytes_.add("release", order.server.domain == domain_, result.bytes);
    if (term != term_) {
      return;
    }
    const dispatch::ReleaseAnswer answer = releaseAnswerOf(result);
    if (answer.kind == dispatch::ReleaseAnswer::Kind::OtherServer) {
      coordinator_->onServerProcessEnded(order.server);
    }
    log_.write("release",
               { { "server", dispatch::incarnationOf(order.server.id, order.server.born) },
                 { "address", order.server.address },
                 { "from", order.from },
                 { "to", order.to },
                 { "fence", order.fence },
                 { "answered", answer.kind == dispatch::ReleaseAnswer::Kind::Released },
                 { "has_token", !answer.handover.empty() },
                 { "status", result.answer.status },
                 { "end", static_cast<int>(result.end) } });
    recordToken(order, answer);
    coordinator_->onReleaseAnswered(order, answer, clockNow());
  });
}

// The release stands without its token; the keys are slow for a while at their next owner.
void CoordinatorRole::recordToken(const dispatch::ReleaseOrder& order,
                                  const dispatch::ReleaseAnswer& answer)
{
  if (answer.tokenDefect == dispatch::HandoverToken::Defect::None) {
    return;
  }
  ++malformedTokens_;
  log_.write("release_token_malformed",
             { { "server", dispatch::incarnationOf(order.server.id, order.server.born) },
               { "from", order.from },
               { "to", order.to },
               { "fence", order.fence },
               { "why", dispatch::describe(answer.tokenDefect) } });
}

} // namespace sycamore::entry
