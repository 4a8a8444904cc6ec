#include <entry/CoordinatorDuty.h>

#include <entry/ServerPool.h>
#include <entry/SteadyTime.h>

#include <wire/ServerProtocol.h>
#include <wire/WireError.h>

namespace sycamore::entry {

namespace {

// Time between two confirmations by the store that this VM still is the coordinator. They also show
// that it would hear of changes.
constexpr base::Duration kConfirmInterval = base::milliseconds(600);
// Time for which a confirmation shows that, with room for a slow answer.
constexpr base::Duration kConfirmLife = base::milliseconds(900);
// Pause before a write that got no answer is sent again.
constexpr base::Duration kWriteRetry = base::milliseconds(200);
// A release is answered when the work on its keys has ended.
constexpr base::Duration kReleaseTime = base::milliseconds(1000);

} // namespace

CoordinatorDuty::CoordinatorDuty(CallClient& calls,
                                 StoreClient& store,
                                 EventLog& log,
                                 dispatch::CoordinatorSettings settings,
                                 dispatch::Coordinator self,
                                 Confirmed confirmed,
                                 Seen seen)
  : calls_(calls)
  , store_(store)
  , log_(log)
  , settings_(settings)
  , self_(std::move(self))
  , confirmed_(std::move(confirmed))
  , seen_(std::move(seen))
{
}

void CoordinatorDuty::tryAcquire(std::uint64_t knownEpoch)
{
  if (acquiring_ || active()) {
    return;
  }
  acquiring_ = true;
  store_.read(wire::Kind::Ownership,
              wire::kOwnershipName,
              wire::ReadConsistency::Current,
              [this, knownEpoch](const StoreAnswer& answer) { onAcquireRead(answer, knownEpoch); });
}

void CoordinatorDuty::onAcquireRead(const StoreAnswer& answer, std::uint64_t knownEpoch)
{
  dispatch::OwnershipRecord record;
  std::uint64_t revision = 0;
  if (answer.outcome == StoreOutcome::Done) {
    try {
      const wire::StoreObject object = wire::readObject(answer.body);
      record = dispatch::readOwnershipRecord(wire::ownContent(object));
      revision = object.revision;
    } catch (const base::Error& error) {
      log_.write("ownership_unreadable", { { "error", error.what() } });
      acquiring_ = false;
      return;
    }
  } else if (answer.outcome != StoreOutcome::Missing) {
    acquiring_ = false;
    return;
  }
  const dispatch::Coordinator previous = record.coordinator;
  if (previous == self_) {
    // An own write whose answer was lost.
    acquiring_ = false;
    begin(std::move(record), revision, clockNow() + settings_.confirmationTimeout);
    return;
  }
  if (record.epoch > knownEpoch && !previous.vm.value().empty() && previous.vm != self_.vm) {
    // Another VM was faster. It gets time for its first message.
    acquiring_ = false;
    seen_(record, revision);
    return;
  }
  // An earlier run of this process grants no more, nor does nobody. Those before it may.
  const bool nobodyElse =
    previous.vm.value().empty() || (previous.vm == self_.vm && record.previousCoordinatorsStopped);
  record.coordinator = self_;
  record.previousCoordinatorsStopped = nobodyElse;
  ++record.epoch;
  const std::string content = dispatch::writeOwnershipRecord(record);
  store_.write(
    wire::Kind::Ownership,
    wire::kOwnershipName,
    revision,
    content,
    [this, record, revision, nobodyElse](const StoreAnswer& written) {
      acquiring_ = false;
      if (written.outcome != StoreOutcome::Done) {
        return;
      }
      const base::TimePoint now = clockNow();
      try {
        const wire::StoreObject object = wire::readObject(written.body);
        begin(record, object.revision, nobodyElse ? now : now + settings_.confirmationTimeout);
        confirmed_(record, { revision, object.revision, {}, self_, record.epoch });
      } catch (const wire::WireError& error) {
        log_.write("store_answer_unreadable", { { "error", error.what() } });
      }
    });
}

void CoordinatorDuty::begin(dispatch::OwnershipRecord record,
                            std::uint64_t revision,
                            base::TimePoint othersUntil)
{
  const base::TimePoint now = clockNow();
  ++term_;
  revision_ = revision;
  writing_ = false;
  writeWanted_ = false;
  confirming_ = false;
  storeReachable_ = true;
  nextConfirm_ = now + kConfirmInterval;
  confirmedAt_ = now;
  log_.write(
    "coordinator_began",
    { { "epoch", record.epoch },
      { "revision", revision },
      { "others_grant_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(othersUntil - now).count() } });
  coordinator_ =
    std::make_unique<dispatch::KeyCoordinator>(settings_, std::move(record), othersUntil, now);
}

void CoordinatorDuty::resign(const char* why)
{
  if (!active()) {
    return;
  }
  log_.write("coordinator_resigned", { { "why", why }, { "epoch", coordinator_->record().epoch } });
  coordinator_.reset();
  ++term_;
}

void CoordinatorDuty::tick(base::TimePoint now)
{
  if (!active()) {
    return;
  }
  if (now >= nextConfirm_ && !confirming_) {
    confirm();
  }
  const dispatch::CoordinatorActions actions = coordinator_->tick(now);
  for (const dispatch::GrantOrder& order : actions.grants) {
    grant(order);
  }
  for (const dispatch::ReleaseOrder& order : actions.releases) {
    release(order);
  }
  writeWanted_ = writeWanted_ || actions.mustWriteRecord;
  if (writeWanted_ && !writing_ && now >= nextWrite_) {
    writeRecord();
  }
}

void CoordinatorDuty::writeRecord()
{
  writing_ = true;
  const std::string content = dispatch::writeOwnershipRecord(coordinator_->record());
  const base::TimePoint asked = clockNow();
  store_.write(wire::Kind::Ownership,
               wire::kOwnershipName,
               revision_,
               content,
               [this, asked, content, term = term_](const StoreAnswer& answer) {
                 if (term == term_) {
                   onWritten(answer, asked, content);
                 }
               });
}

void CoordinatorDuty::onWritten(const StoreAnswer& answer,
                                base::TimePoint asked,
                                const std::string& content)
{
  writing_ = false;
  const base::TimePoint now = clockNow();
  nextWrite_ = now + kWriteRetry;
  if (answer.outcome != StoreOutcome::Done && answer.outcome != StoreOutcome::Conflict) {
    storeReachable_ = false;
    return;
  }
  storeReachable_ = true;
  try {
    const wire::StoreObject object = wire::readObject(answer.body);
    // A conflict with the same content is an own write whose answer was lost.
    if (answer.outcome == StoreOutcome::Conflict && wire::ownContent(object) != content) {
      resign("the record was changed by another entry VM");
      return;
    }
    dispatch::OwnershipDelta delta{
      revision_, object.revision, {}, self_, coordinator_->record().epoch
    };
    revision_ = object.revision;
    writeWanted_ = false;
    nextWrite_ = now;
    noteConfirmed(asked);
    delta.changes = coordinator_->onRecordWritten(now);
    confirmed_(coordinator_->record(), delta);
  } catch (const wire::WireError& error) {
    log_.write("store_answer_unreadable", { { "error", error.what() } });
  }
}

void CoordinatorDuty::confirm()
{
  confirming_ = true;
  const base::TimePoint asked = clockNow();
  nextConfirm_ = asked + kConfirmInterval;
  store_.read(wire::Kind::Ownership,
              wire::kOwnershipName,
              wire::ReadConsistency::Current,
              [this, asked, term = term_](const StoreAnswer& answer) {
                if (term == term_) {
                  confirming_ = false;
                  onConfirmed(answer, asked);
                }
              });
}

void CoordinatorDuty::onConfirmed(const StoreAnswer& answer, base::TimePoint asked)
{
  storeReachable_ = answer.outcome == StoreOutcome::Done;
  if (!storeReachable_) {
    return;
  }
  try {
    const wire::StoreObject object = wire::readObject(answer.body);
    const auto record = dispatch::readOwnershipRecord(wire::ownContent(object));
    if (record.coordinator != self_) {
      resign("another entry VM is the coordinator");
      return;
    }
    noteConfirmed(asked);
  } catch (const base::Error& error) {
    log_.write("ownership_unreadable", { { "error", error.what() } });
  }
}

void CoordinatorDuty::noteConfirmed(base::TimePoint asked)
{
  confirmedAt_ = std::max(confirmedAt_, asked);
  nextConfirm_ = std::max(nextConfirm_, asked + kConfirmInterval);
  coordinator_->onCoordinatorConfirmed(asked);
}

bool CoordinatorDuty::seesStore(base::TimePoint now) const
{
  return storeReachable_ && now < confirmedAt_ + kConfirmLife;
}

void CoordinatorDuty::grant(const dispatch::GrantOrder& order)
{
  Call call{ endpointOf(order.server),
             "POST",
             wire::grantPath(),
             wire::serverHeader(order.server.id),
             wire::grantBody(order, settings_.grantDuration),
             settings_.callTimeout,
             [this, order, term = term_] {
               if (term == term_) {
                 coordinator_->onGrantSent(order, clockNow());
               }
             } };
  calls_.call(std::move(call), [this, order, term = term_](const ExchangeResult& result) {
    if (term != term_) {
      return;
    }
    dispatch::GrantAnswer answer = dispatch::GrantAnswer::OutcomeUnknown;
    if (result.end == ExchangeEnd::NotSent) {
      answer = dispatch::GrantAnswer::NotSent;
    } else if (result.end == ExchangeEnd::Answered) {
      answer = wire::readGrantAnswer(result.answer.result_int());
    }
    if (answer == dispatch::GrantAnswer::OtherServer) {
      coordinator_->onServerProcessEnded(order.server);
    }
    if (answer != dispatch::GrantAnswer::Accepted) {
      log_.write("grant_failed",
                 { { "server", order.server.id.value() },
                   { "from", order.from },
                   { "fence", order.fence },
                   { "status", result.answer.result_int() },
                   { "end", static_cast<int>(result.end) } });
    }
    coordinator_->onGrantAnswered(order, answer, clockNow());
  });
}

void CoordinatorDuty::release(const dispatch::ReleaseOrder& order)
{
  Call call{ endpointOf(order.server),
             "POST",
             wire::releasePath(),
             wire::serverHeader(order.server.id),
             wire::releaseBody(order),
             kReleaseTime,
             nullptr };
  calls_.call(std::move(call), [this, order, term = term_](const ExchangeResult& result) {
    if (term != term_) {
      return;
    }
    if (result.end == ExchangeEnd::Answered && wire::isMisdirected(result.answer.result_int())) {
      coordinator_->onServerProcessEnded(order.server);
    }
    const auto handover = result.end == ExchangeEnd::Answered
                            ? wire::readReleaseAnswer(result.answer.result_int(), result.answer)
                            : std::nullopt;
    log_.write("release",
               { { "server", order.server.id.value() },
                 { "from", order.from },
                 { "to", order.to },
                 { "fence", order.fence },
                 { "answered", handover.has_value() } });
    coordinator_->onReleaseAnswered(order, handover, clockNow());
  });
}

} // namespace sycamore::entry
