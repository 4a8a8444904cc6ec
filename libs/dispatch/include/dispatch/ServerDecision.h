#pragma once

#include <base/Time.h>

#include <cstddef>
#include <optional>

namespace sycamore::dispatch {

// Whether a backend server may get a request at all, whatever its load.
enum class ServerState
{
  Usable,
  // It drains, leaves, isn't registered as the key's owner any more, or its domain is out.
  Unavailable,
  // It wants no requests for a time.
  Paused,
  // It has failed repeatedly.
  Suspect,
  // It resets new connections, and this VM has no idle one.
  Unconnected,
  // The request has been sent to it before.
  Tried
};

// What an entry VM expects of a server for one more request.
struct ServerEstimate
{
  // Time from sending the request to its answer.
  base::Duration latency{};
  // Mean processing time of a request.
  base::Duration work{};
  bool isSameDomain = true;
  // Whether this VM's next trial of the server is due.
  bool isTrialDue = false;
  // Whether this VM has an open connection to it that carries no request.
  bool hasIdleConnection = false;
};

// Whether a server admits a request and, if not, why.
enum class AdmissionVerdict
{
  Admitted,
  // The answer would come too late.
  NoRoom,
  // The server limits its requests, and there is no permit, or none yet.
  AtRequestLimit,
  AwaitsPermit,
  // The server is cold and has got its share.
  AtColdStartRate
};

struct Admission
{
  AdmissionVerdict verdict = AdmissionVerdict::Admitted;
  // Delay after which the caller may retry, if there is no room.
  base::Duration retryAfter{};
};

// Why a request goes to a server, or to none.
enum class DecisionReason
{
  Chosen,
  // The service has no servers, or the key has no owner.
  NoServer,
  // None of the service's servers is usable, or the key's owner has failed repeatedly.
  NoneUsable,
  // The key's owner takes no new connections.
  Unconnected,
  NoRoom,
  AtRequestLimit,
  AtColdStartRate,
  Paused
};

struct ServerDecision
{
  DecisionReason reason = DecisionReason::NoneUsable;
  // Index of the chosen server, or of the one whose load or state was the reason, if any.
  std::optional<std::size_t> server;
  // What was expected of that server; set if its load was looked at.
  std::optional<ServerEstimate> estimate;
  // Delay after which the caller may retry; set for NoRoom and Paused.
  base::Duration retryAfter{};
  // Whether a permit may be had in time, so that the choice should be made again soon.
  bool awaitsPermit = false;
};

} // namespace sycamore::dispatch
