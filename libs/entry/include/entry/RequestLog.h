#pragma once

#include <entry/EventLog.h>
#include <entry/ServerPool.h>
#include <entry/TrafficMetrics.h>

#include <dispatch/Configuration.h>
#include <wire/ServerProtocol.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace sycamore::entry {

// A request that has got its final answer, with what decided it.
struct FinishedRequest
{
  const wire::RequestMetadata* metadata = nullptr;
  std::uint64_t digest = 0;
  unsigned status = 0;
  std::string_view reason;
  base::Duration elapsed{};
  // Number of times that the request was sent to a server.
  unsigned sends = 0;
  bool mayHaveRun = false;
  bool isServersAnswer = false;
  // Number of idle connections to the server that were closed because it didn't answer.
  std::size_t idleClosed = 0;
  // The server that decided, or the last one that the request was sent to; null if there is none.
  std::shared_ptr<ServerPool> server;
  // Null if the request belongs to no workspace.
  const dispatch::Workspace* workspace = nullptr;
  // Null if no route matched; the next three are set with it only.
  const dispatch::Route* route = nullptr;
  base::ServiceId service;
  base::Duration timeLeft{};
  std::uint64_t configurationVersion = 0;
  std::uint64_t ownershipEpoch = 0;
};

// Logs each request that wasn't served, within the log's limit, and a sample of the others.
void logFinishedRequest(EventLog& log, const FinishedRequest& request, base::TimePoint now);

// Counts a request that matched a route.
void recordFinishedRequest(TrafficMetrics& metrics, const FinishedRequest& request);

} // namespace sycamore::entry
