#pragma once

#include <base/Time.h>
#include <configuration/ChangeOutcome.h>
#include <configuration/ConfigStore.h>

#include <optional>
#include <string>
#include <variant>

namespace sycamore::configuration {

// A validated change: its document has passed ConfigValidator.
struct ConfigChange
{
  ObjectName name;
  // The version that the operator's change is based on; 0 for an object that must not exist.
  base::Version baseVersion;
  // JSON; an empty document deletes the object.
  std::string document;
  // Token that identifies this change: VM id and random nonce, unique per change.
  std::string writer;
  bool dryRun = false;
  base::TimePoint deadline;
};

// Requests a conditional write at or after notBefore. ifVersion is the parameter of the same name
// of the platform's conditional PUT.
struct WriteStep
{
  ObjectName name;
  base::Version ifVersion;
  std::string value;
  base::TimePoint notBefore{};
};

// Requests a read of the object at or after notBefore.
struct ReadStep
{
  ObjectName name;
  base::TimePoint notBefore{};
};

using ChangeStep = std::variant<WriteStep, ReadStep, ChangeOutcome>;

// The platform's answer to a write.
struct WriteResult
{
  enum class Kind
  {
    // Stored as `version`.
    Stored,
    // The object has another version than ifVersion.
    VersionMismatch,
    // Certainly not stored: rate limit exceeded, value too large, or request never sent.
    NotStored,
    // No answer; the write may have been stored.
    NoAnswer
  };

  Kind kind = Kind::NoAnswer;
  base::Version version;
  // For VersionMismatch: the current object, if the answer contained it.
  std::optional<ConfigObject> current;
  std::string message;
};

// The platform's answer to a read.
struct ReadResult
{
  enum class Kind
  {
    Found,
    Absent,
    NoAnswer
  };

  Kind kind = Kind::NoAnswer;
  std::optional<ConfigObject> current;
};

// State machine that drives one change of one object to its outcome; one instance per change. The
// user of this class executes each step and reports its result until a step is a ChangeOutcome. A
// change is one conditional write of one object, so it is never partially applied. A lost answer is
// resolved by reading the object back and looking for the writer token, and by repeating the same
// write while the object still has the base version: at most one of the repeated writes can take
// effect, as all of them are conditional on that version. Not thread-safe.
class ChangeCoordinator
{
public:
  // `known` is the object as the local store has it.
  ChangeCoordinator(ConfigChange change, std::optional<ConfigObject> known);

  ChangeStep start(base::TimePoint now);
  ChangeStep onWritten(const WriteResult& result, base::TimePoint now);
  ChangeStep onRead(const ReadResult& result, base::TimePoint now);

private:
  // Delay before a read or write is repeated.
  static constexpr base::milliseconds kRepeatInterval{ 50 };

  ChangeStep proceedFrom(const ConfigObject& current, base::TimePoint now);
  ChangeStep write(const std::optional<ConfigObject>& baseObject, base::TimePoint now);
  ChangeStep repeatWrite(base::TimePoint now);
  ChangeStep readAgain(base::TimePoint now) const;
  ChangeStep resolve(const ConfigObject& current, base::TimePoint now);
  ChangeStep resolveAbsent(base::TimePoint now);
  bool historyReachesBase(const std::vector<std::string>& writers) const;
  bool expired(base::TimePoint now) const { return now >= change_.deadline; }

  ChangeOutcome confirmed(const ConfigObject& object) const;
  ChangeOutcome conflict(const std::optional<ConfigObject>& winner) const;
  ChangeOutcome inDoubt(const std::optional<ConfigObject>& current) const;
  ChangeOutcome refused(std::string message) const;
  ChangeOutcome planned() const;

  ConfigChange change_;
  std::optional<ConfigObject> known_;
  // The conditional write; set once the base object is known.
  std::optional<WriteStep> write_;
  // Writer token of the last write before this change; empty if there was none or it is unknown.
  std::string baseWriter_;
  // Whether an unanswered write may have reached the platform.
  bool mayBeStored_ = false;
};

} // namespace sycamore::configuration
