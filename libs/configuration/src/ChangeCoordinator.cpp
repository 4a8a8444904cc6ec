#include <configuration/ChangeCoordinator.h>
#include <configuration/ConfigValidator.h>
#include <configuration/StoredValue.h>

#include <algorithm>
#include <utility>

namespace sycamore::configuration {

ChangeCoordinator::ChangeCoordinator(ConfigChange change, std::optional<ConfigObject> known)
  : change_(std::move(change))
  , known_(std::move(known))
{
}

ChangeStep ChangeCoordinator::start(base::TimePoint now)
{
  if (expired(now)) {
    return refused("the deadline has passed; nothing was changed");
  }
  if (known_ && known_->version >= change_.baseVersion) {
    return proceedFrom(*known_, now);
  }
  if (change_.baseVersion == base::Version()) {
    return write(std::nullopt, now);
  }
  return ReadStep{ change_.name, now };
}

// Continues from an object whose version is at least the base version.
ChangeStep ChangeCoordinator::proceedFrom(const ConfigObject& current, base::TimePoint now)
{
  const bool creates = change_.baseVersion == base::Version();
  const auto stored = StoredValue::parse(current.value);
  const bool deleted = stored.isDeleted();
  if (current.version != change_.baseVersion && !(creates && deleted)) {
    return conflict(current);
  }
  if (deleted && change_.document.empty()) {
    return refused("the object is already deleted");
  }
  if (expired(now)) {
    return refused("not stored before the deadline; nothing was changed");
  }
  auto faults =
    ConfigValidator().checkTransition(change_.name, stored.document(), change_.document);
  if (!faults.empty()) {
    ChangeOutcome outcome = refused("the object's current document forbids the change");
    outcome.faults = std::move(faults);
    return outcome;
  }
  return write(current, now);
}

ChangeStep ChangeCoordinator::write(const std::optional<ConfigObject>& baseObject,
                                    base::TimePoint now)
{
  if (!baseObject && change_.document.empty()) {
    return refused("there is no such object to delete");
  }
  if (change_.dryRun) {
    return planned();
  }
  const auto stored = baseObject ? StoredValue::parse(baseObject->value) : StoredValue();
  baseWriter_ = stored.writers().empty() ? std::string() : stored.writers().front();
  const auto next = change_.document.empty() ? stored.deletedBy(change_.writer)
                                             : stored.changedTo(change_.document, change_.writer);
  const base::Version ifVersion = baseObject ? baseObject->version : base::Version();
  write_ = WriteStep{ change_.name, ifVersion, next.serialize(), now };
  return *write_;
}

ChangeStep ChangeCoordinator::onWritten(const WriteResult& result, base::TimePoint now)
{
  switch (result.kind) {
    case WriteResult::Kind::Stored:
      return confirmed({ change_.name, result.version, write_->value });
    case WriteResult::Kind::NotStored:
      return mayBeStored_ ? readAgain(now) : refused(result.message);
    case WriteResult::Kind::NoAnswer:
      mayBeStored_ = true;
      return readAgain(now);
    case WriteResult::Kind::VersionMismatch:
      break;
  }
  return result.current ? resolve(*result.current, now) : readAgain(now);
}

ChangeStep ChangeCoordinator::onRead(const ReadResult& result, base::TimePoint now)
{
  switch (result.kind) {
    case ReadResult::Kind::NoAnswer:
      return readAgain(now);
    case ReadResult::Kind::Absent:
      return resolveAbsent(now);
    case ReadResult::Kind::Found:
      break;
  }
  if (!result.current) {
    return readAgain(now);
  }
  if (write_) {
    return resolve(*result.current, now);
  }
  // A version older than the base version means that the read is stale.
  return result.current->version < change_.baseVersion ? readAgain(now)
                                                       : proceedFrom(*result.current, now);
}

// Determines the outcome from an object that was read after a write was sent.
ChangeStep ChangeCoordinator::resolve(const ConfigObject& current, base::TimePoint now)
{
  const auto stored = StoredValue::parse(current.value);
  if (stored.writtenBy(change_.writer)) {
    return confirmed(current);
  }
  if (current.version == write_->ifVersion) {
    return repeatWrite(now);
  }
  if (current.version < write_->ifVersion) {
    return readAgain(now);
  }
  if (!mayBeStored_) {
    // A create may have found a tombstone that this VM didn't know; anything else is a conflict.
    return proceedFrom(current, now);
  }
  return historyReachesBase(stored.writers()) ? conflict(current) : inDoubt(current);
}

ChangeStep ChangeCoordinator::resolveAbsent(base::TimePoint now)
{
  if (write_ && write_->ifVersion == base::Version()) {
    return repeatWrite(now);
  }
  return mayBeStored_ ? inDoubt(std::nullopt) : conflict(std::nullopt);
}

// Whether the writer tokens of an object reach back without a gap to the base version of the write.
bool ChangeCoordinator::historyReachesBase(const std::vector<std::string>& writers) const
{
  if (!baseWriter_.empty()) {
    return std::find(writers.begin(), writers.end(), baseWriter_) != writers.end();
  }
  return !writers.empty() && writers.size() < StoredValue::kMaxWriters;
}

ChangeStep ChangeCoordinator::repeatWrite(base::TimePoint now)
{
  if (expired(now)) {
    return mayBeStored_ ? inDoubt(std::nullopt)
                        : refused("not stored before the deadline; nothing was changed");
  }
  write_->notBefore = now + kRepeatInterval;
  return *write_;
}

ChangeStep ChangeCoordinator::readAgain(base::TimePoint now) const
{
  if (expired(now)) {
    return mayBeStored_ ? inDoubt(std::nullopt)
                        : refused("the platform did not answer; nothing was changed");
  }
  return ReadStep{ change_.name, now + kRepeatInterval };
}

ChangeOutcome ChangeCoordinator::confirmed(const ConfigObject& object) const
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::Confirmed;
  outcome.version = object.version;
  outcome.object = object;
  outcome.writer = change_.writer;
  const auto stored = StoredValue::parse(object.value);
  const bool newest = !stored.writers().empty() && stored.writers().front() == change_.writer;
  outcome.message = newest ? "stored" : "stored, and followed by another change";
  return outcome;
}

ChangeOutcome ChangeCoordinator::conflict(const std::optional<ConfigObject>& winner) const
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::Conflict;
  outcome.writer = change_.writer;
  outcome.object = winner;
  outcome.message = "another change came first";
  std::string theirs;
  if (winner) {
    outcome.version = winner->version;
    theirs = StoredValue::parse(winner->value).document();
  }
  if (theirs.empty()) {
    outcome.message = "the object has been deleted";
  }
  outcome.differences = differences(change_.document, theirs);
  return outcome;
}

ChangeOutcome ChangeCoordinator::inDoubt(const std::optional<ConfigObject>& current) const
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::InDoubt;
  outcome.writer = change_.writer;
  outcome.object = current;
  outcome.version = current ? current->version : base::Version();
  outcome.message = "the platform's answer was lost; read the object before trying again";
  return outcome;
}

ChangeOutcome ChangeCoordinator::refused(std::string message) const
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::Refused;
  outcome.writer = change_.writer;
  outcome.message = std::move(message);
  return outcome;
}

ChangeOutcome ChangeCoordinator::planned() const
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::Planned;
  outcome.version = change_.baseVersion;
  outcome.message = "would be stored; nothing was changed";
  return outcome;
}

} // namespace sycamore::configuration
