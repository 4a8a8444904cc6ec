#pragma once

#include <cstdint>

namespace sycamore::entry {

// Counters of requests, of their results by kind, and of retries.
struct DispatchCounts
{
  std::uint64_t received = 0;
  std::uint64_t passedOn = 0;
  std::uint64_t refusedNoRoute = 0;
  std::uint64_t refusedNoOwner = 0;
  std::uint64_t refusedNoRoom = 0;
  std::uint64_t refusedByServer = 0;
  std::uint64_t refusedUnreachable = 0;
  std::uint64_t refusedNoMemory = 0;
  std::uint64_t refusedStopping = 0;
  std::uint64_t failedUnknown = 0;
  std::uint64_t failedTimeout = 0;
  // Answers of servers that could not be taken for answers.
  std::uint64_t unreadableAnswers = 0;
  std::uint64_t callerLeft = 0;
  std::uint64_t retries = 0;
  // Requests that were begun before those in front of them on their connection were answered, and
  // those that waited for them because as many were open as may be.
  std::uint64_t pipelined = 0;
  std::uint64_t pipelineWaits = 0;
  // Servers that have said in an answer that they leave.
  std::uint64_t serversLeaving = 0;
  // Answers by which servers asked for a pause, and requests that were refused because of one.
  std::uint64_t serverPauses = 0;
  std::uint64_t refusedPaused = 0;
  // Requests that used a permit of a server with a limit, and those that were refused for lack of
  // one.
  std::uint64_t permitsUsed = 0;
  std::uint64_t refusedAtLimit = 0;
  // Requests that were refused because no workspace holds their key, and because the copy of the
  // keys may be outdated.
  std::uint64_t refusedUnknownKey = 0;
  std::uint64_t refusedKeysOutdated = 0;
  // Requests beyond their workspace's quota, those that were refused because the coordinator didn't
  // answer, and messages with questions for loans.
  std::uint64_t refusedOverQuota = 0;
  std::uint64_t refusedNoQuotaAnswer = 0;
  std::uint64_t quotaQuestions = 0;
};

} // namespace sycamore::entry
