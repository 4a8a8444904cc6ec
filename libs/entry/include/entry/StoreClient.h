#pragma once

#include <entry/CallClient.h>
#include <entry/ControlStatus.h>

#include <wire/StoreProtocol.h>

#include <cstdint>
#include <functional>
#include <string>

namespace sycamore::entry {

// How a call to the store ended.
enum class StoreOutcome
{
  Done,
  // There is no such object.
  Missing,
  // The object has another revision, or exists already. The body holds it.
  Conflict,
  // The history from which a watch should continue is gone.
  HistoryGone,
  // Nothing was done.
  Refused,
  // No answer: a write may have taken effect, or may still do so.
  Unknown
};

struct StoreAnswer
{
  StoreOutcome outcome = StoreOutcome::Unknown;
  std::string body;
};

// The one client of the platform's store. Control thread only.
class StoreClient
{
public:
  using Finished = std::function<void(StoreAnswer)>;

  StoreClient(CallClient& calls, const dispatch::Endpoint& store);

  void setEndpoint(const dispatch::Endpoint& store) { store_ = store; }

  void list(wire::Kind kind, const std::string& after, Finished finished);
  void watch(wire::Kind kind,
             std::uint64_t revision,
             std::chrono::milliseconds wait,
             wire::ReadConsistency reading,
             Finished finished);
  void read(wire::Kind kind,
            const std::string& name,
            wire::ReadConsistency reading,
            Finished finished);
  // Creates an object (revision 0), or replaces it if it still has the revision.
  void write(wire::Kind kind,
             const std::string& name,
             std::uint64_t revision,
             const std::string& content,
             Finished finished);

  // Whether to ask again after a failure. While the store doesn't answer, one call at a time is
  // enough to learn when it does; the permission counts as used.
  bool mayAsk(base::TimePoint now);
  // Whether the last call that ended was answered.
  bool reachable() const { return reachable_; }
  const StoreCalls& calls() const { return counts_; }

private:
  void call(const std::string& method,
            std::string path,
            std::string body,
            base::Duration timeout,
            Finished finished);

  CallClient& calls_;
  dispatch::Endpoint store_;
  bool reachable_ = false;
  StoreCalls counts_;
  base::TimePoint nextProbe_{};
};

} // namespace sycamore::entry
