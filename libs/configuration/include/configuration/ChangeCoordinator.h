#pragma once

#include <base/Time.h>
#include <configuration/ChangeOutcome.h>
#include <configuration/ConfigStore.h>

#include <optional>
#include <string>
#include <variant>

namespace sycamore::configuration {

// A checked change: its document has passed ConfigValidator.
struct ConfigChange
{
  ObjectName name;
  // The version that the operator saw; 0 for an object that must not exist.
  base::Version baseVersion;
  // JSON; empty deletes the object.
  std::string document;
  // Unique per change: VM id and random nonce.
  std::string writer;
  bool dryRun = false;
  base::TimePoint deadline;
};

// Asks for a conditional write, not before a time. ifVersion is that of the platform's conditional
// PUT.
struct WriteStep
{
  ObjectName name;
  base::Version ifVersion;
  std::string value;
  base::TimePoint notBefore{};
};

// Asks for a read of the object, not before a time.
struct ReadStep
{
  ObjectName name;
  base::TimePoint notBefore{};
};

using ChangeStep = std::variant<WriteStep, ReadStep, ChangeOutcome>;

// What the platform said to a write.
struct WriteResult
{
  enum class Kind
  {
    // Stored, with `version`.
    Stored,
    // Another version is there.
    VersionMismatch,
    // Certainly not stored: over the permitted rate, too large, or never sent.
    NotStored,
    // No answer: may be stored.
    NoAnswer
  };

  Kind kind = Kind::NoAnswer;
  base::Version version;
  // For VersionMismatch: the current object, if the answer had it.
  std::optional<ConfigObject> current;
  std::string message;
};

// What the platform said to a read.
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

// Drives one change of one object to its outcome; one instance per change. The caller runs each
// step and reports its result until a step is a ChangeOutcome. A change is one conditional write of
// one object, so it is never half applied. A lost answer is settled by reading back the writer
// token, and by repeating the same write while the base version is still there: at most one of the
// repeated writes can take effect, as they depend on the same version. Not thread-safe.
class ChangeCoordinator
{
public:
  // `known` is what the local store has of the object.
  ChangeCoordinator(ConfigChange change, std::optional<ConfigObject> known);

  ChangeStep start(base::TimePoint now);
  ChangeStep onWritten(const WriteResult& result, base::TimePoint now);
  ChangeStep onRead(const ReadResult& result, base::TimePoint now);

private:
  // Pause before a read or write is repeated.
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
  // The write; set once the base object is known.
  std::optional<WriteStep> write_;
  // Token of the last write before this change; empty if there was none or it is unknown.
  std::string baseWriter_;
  // Whether a write without an answer may have reached the platform.
  bool mayBeStored_ = false;
};

} // namespace sycamore::configuration
