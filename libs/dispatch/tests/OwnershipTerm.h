#pragma once

#include "OwnershipCoordinators.h"

#include <memory>
#include <optional>
#include <vector>

namespace sycamore::dispatch {

// Call without effect that goes first on a new connection.
struct OwnershipCoordinators::OpeningCall
{
  base::TimePoint arrivesAt;
  std::optional<base::TimePoint> readAt;
};

struct OwnershipCoordinators::GrantCall
{
  GrantOrder order;
  // Fencing token that the call carries.
  std::uint64_t fence = 0;
  base::TimePoint connectsAt;
  // Start of the process that the connection leads to.
  std::int64_t born = 0;
  // The server has answered an earlier call on the connection, so that it reads the next one when
  // that arrives.
  bool isConnectionAnswered = true;
  std::optional<OpeningCall> opening;
  bool isSent = false;
  base::TimePoint sentAt{};
  base::TimePoint arrivesAt{};
  // Time at which the server reads the call from its socket, also if it was given up meanwhile.
  std::optional<base::TimePoint> readAt;
  bool isUnread = false;
  std::optional<base::TimePoint> arrivedAt;
  std::optional<base::TimePoint> appliesAt;
  bool isApplied = false;
  std::optional<base::TimePoint> answersAt;
  GrantAnswer answer = GrantAnswer::Accepted;
  bool isReported = false;
};

struct OwnershipCoordinators::ReleaseCall
{
  ReleaseOrder order;
  base::TimePoint givenUpAt;
  base::TimePoint arrivesAt;
  std::int64_t born = 0;
  // Time at which a busy server reads the call from its socket, also if it was given up meanwhile.
  std::optional<base::TimePoint> readAt;
  bool isUnread = false;
  bool isApplied = false;
  // The server had nothing left to stop and answers although it still works on the keys.
  bool isAnsweredAtOnce = false;
  // An answer to an earlier call arrives on the connection before the release does.
  bool getsForeignAnswer = false;
  // How the call has ended, and when; empty while it is open.
  std::optional<ReleaseAnswer> answer;
  base::TimePoint endedAt{};
  bool isReported = false;
};

// Answer of the store to a write of the record.
struct OwnershipCoordinators::WriteAnswer
{
  base::TimePoint at;
  bool isWritten = false;
  std::uint64_t revision = 0;
};

// The time from a takeover of a process until it stops being the coordinator, and the calls that it
// makes. A former coordinator may go on until the store's confirmation runs out.
struct OwnershipCoordinators::Term
{
  Coordinator self;
  OwnershipRecord record;
  std::uint64_t revision = 0;
  // Era of the store in which the term began.
  std::uint64_t era = 0;
  base::TimePoint beginsAt{};
  // Time of the call to the store by whose answer the term begins.
  base::TimePoint askedAt{};
  bool haveOthersStopped = false;
  // Null before the term begins and once it has ended.
  std::unique_ptr<KeyCoordinator> coordinator;
  bool hasBegun = false;
  std::vector<GrantCall> grants;
  std::vector<ReleaseCall> releases;
  base::TimePoint stalledUntil{};
  base::TimePoint storeCutUntil{};
  bool isBehindCut = false;
  std::optional<base::TimePoint> writeEndsAt;
  std::optional<WriteAnswer> writeAnswer;
  // Time for which answers and timeouts wait until they are handled.
  base::Duration handlingDelay{};
  // Times of the calls by whose answers the store has confirmed the coordinator, as far as these
  // aren't handled yet.
  std::vector<base::TimePoint> confirmations;
};

// A takeover whose write takes effect late and gets no answer. The process reads the record again
// later.
struct OwnershipCoordinators::LateTakeover
{
  Coordinator self;
  base::TimePoint readAgainAt;
};

struct OwnershipCoordinators::StopReport
{
  base::TimePoint arrivesAt;
  Coordinator to;
  std::uint64_t epoch = 0;
  base::Duration stopIn;
  base::Duration expireIn;
};

} // namespace sycamore::dispatch
