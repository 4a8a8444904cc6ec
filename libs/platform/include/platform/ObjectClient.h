#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <platform/ObjectCodec.h>
#include <platform/ObjectStore.h>
#include <platform/PlatformError.h>
#include <platform/Transport.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::platform {

// Client of the platform's object API. Calls block and are meant for worker threads. Thread-safe if
// the transport is. Doesn't own the transport.
template<Transport T, base::Clock C = base::SteadyClock>
class ObjectClient
{
public:
  explicit ObjectClient(T& transport, const C& clock = C())
    : transport_(transport)
    , clock_(clock)
  {
  }

  std::optional<StoredObject> get(const std::string& kind,
                                  const std::string& name,
                                  base::TimePoint deadline)
  {
    const HttpReply reply = read(ObjectCodec::objectTarget(kind, name), deadline);
    if (reply.status == ObjectCodec::kNotFound) {
      return std::nullopt;
    }
    return ObjectCodec::readObject(ObjectCodec::bodyOf(reply));
  }

  ObjectList list(const std::string& kind, base::TimePoint deadline)
  {
    return ObjectCodec::readList(
      ObjectCodec::bodyOf(read(ObjectCodec::listTarget(kind), deadline)));
  }

  // After a lost answer, tries once to resolve the outcome before InDoubt is returned, so that one
  // put makes up to three calls. Throws Unavailable only if the write certainly had no effect.
  WriteResult put(const std::string& kind,
                  const std::string& name,
                  base::Version expected,
                  const nlohmann::json& value,
                  base::TimePoint deadline)
  {
    const std::string token = ObjectCodec::writerToken(value);
    const WriteResult first = putOnce(kind, name, expected, value, token, deadline);
    return std::holds_alternative<InDoubt>(first)
             ? resolveInDoubt(kind, name, expected, value, deadline)
             : first;
  }

  // Resolves the outcome of an earlier put() with the same arguments that ended in doubt: reads the
  // object back and compares the writer token. An object that still has the expected version is
  // written again, because the earlier write may still arrive; only one of the two can take effect.
  WriteResult resolveInDoubt(const std::string& kind,
                             const std::string& name,
                             base::Version expected,
                             const nlohmann::json& value,
                             base::TimePoint deadline)
  {
    const std::string token = ObjectCodec::writerToken(value);
    try {
      const auto found = get(kind, name, deadline);
      const StoredObject current = found.value_or(StoredObject{ kind, name, {}, nullptr });
      if (current.version != expected) {
        return ObjectCodec::resolve(current, token, true);
      }
      return markMaybeOverwritten(putOnce(kind, name, expected, value, token, deadline));
    } catch (const PlatformError&) {
      return InDoubt{};
    }
  }

  // A lost answer leaves the outcome in doubt; a later remove() of the same version shows it.
  WriteResult remove(const std::string& kind,
                     const std::string& name,
                     base::Version expected,
                     base::TimePoint deadline)
  {
    return write({ "DELETE", ObjectCodec::writeTarget(kind, name, expected), "" }, "", deadline);
  }

  ObjectChanges watch(const std::string& kind, Revision after, base::TimePoint deadline)
  {
    // Leaves the platform time to answer before the deadline passes.
    const auto wait = (deadline - clock_.now()) * 3 / 4;
    const std::string target = ObjectCodec::watchTarget(kind, after, wait);
    return ObjectCodec::readChanges(ObjectCodec::bodyOf(read(target, deadline)));
  }

  std::vector<VmRecord> listVms(base::TimePoint deadline)
  {
    return ObjectCodec::readVms(ObjectCodec::bodyOf(read("/vms", deadline)));
  }

  // Returns the number of calls made so far, for the call budget and statistics.
  std::uint64_t callsMade() const { return callsMade_; }

private:
  HttpReply read(const std::string& target, base::TimePoint deadline)
  {
    try {
      ++callsMade_;
      return transport_.exchange({ "GET", target, "" }, deadline);
    } catch (const TransportError& error) {
      throw Unavailable(error.what());
    }
  }

  WriteResult putOnce(const std::string& kind,
                      const std::string& name,
                      base::Version expected,
                      const nlohmann::json& value,
                      const std::string& token,
                      base::TimePoint deadline)
  {
    const std::string target = ObjectCodec::writeTarget(kind, name, expected);
    return write({ "PUT", target, value.dump() }, token, deadline);
  }

  WriteResult write(const HttpCall& call, const std::string& token, base::TimePoint deadline)
  {
    try {
      ++callsMade_;
      return ObjectCodec::readWriteReply(transport_.exchange(call, deadline), token);
    } catch (const TransportError& error) {
      if (error.maybeArrived()) {
        return InDoubt{};
      }
      throw Unavailable(error.what());
    }
  }

  // After a lost answer, a conflict doesn't show whether the first write took effect before it was
  // overwritten.
  static WriteResult markMaybeOverwritten(WriteResult result)
  {
    if (auto* conflict = std::get_if<Conflict>(&result)) {
      conflict->maybeOverwritten = true;
    }
    return result;
  }

  T& transport_;
  const C clock_;
  std::atomic<std::uint64_t> callsMade_ = 0;
};

} // namespace sycamore::platform
