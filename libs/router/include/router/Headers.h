#pragma once

#include <transport/HttpExchange.h>

#include <set>
#include <string>
#include <string_view>

namespace sycamore::router {

// Headers of the protocols with callers and backend servers (docs/design.md section 5).
inline constexpr const char* kKeyHeader = "Sycamore-Key";
inline constexpr const char* kRequestIdHeader = "Sycamore-Request-Id";
inline constexpr const char* kDeadlineHeader = "Sycamore-Deadline-Ms";
inline constexpr const char* kAttemptHeader = "Sycamore-Attempt";
inline constexpr const char* kOutcomeHeader = "Sycamore-Outcome";
inline constexpr const char* kReasonHeader = "Sycamore-Reason";
inline constexpr const char* kServerHeader = "Sycamore-Server";
inline constexpr const char* kServiceHeader = "Sycamore-Service";
inline constexpr const char* kMethodHeader = "Sycamore-Method";
inline constexpr const char* kShardHeader = "Sycamore-Shard";
inline constexpr const char* kTermHeader = "Sycamore-Term";

// Set on a replayed answer to a resend, which was not run again: "whole" or "without-body".
inline constexpr const char* kReplayedHeader = "Sycamore-Replayed";

// Used between entry VMs: the wait before the next attempt, in milliseconds. Retry-After has a
// resolution of one second, which is much longer than a failover.
inline constexpr const char* kRetryAfterMsHeader = "Sycamore-Retry-After-Ms";

// Hop-by-hop headers of one message, which are not forwarded: a fixed set, and those that its
// Connection header lists (RFC 9110, section 7.6.1).
class HopByHopNames
{
public:
  explicit HopByHopNames(const transport::HeaderList& headers);

  bool contains(std::string_view name) const;

private:
  std::set<std::string> connectionOptions_;
};

// Returns whether only this system sets the header, whose name may be in any case; one that a
// caller or a server sent is dropped.
bool isReserved(std::string_view name);

} // namespace sycamore::router
