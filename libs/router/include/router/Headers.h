#pragma once

#include <transport/HttpExchange.h>

#include <set>
#include <string>
#include <string_view>

namespace sycamore::router {

// Headers of the caller's and the server's protocol (docs/design.md section 5).
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

// On the answer to a resend that was not run again: "whole", or "without-body".
inline constexpr const char* kReplayedHeader = "Sycamore-Replayed";

// Between entry VMs: the wait before the next attempt in milliseconds. Retry-After has whole
// seconds, far longer than a failover.
inline constexpr const char* kRetryAfterMsHeader = "Sycamore-Retry-After-Ms";

// Headers of one message that belong to its connection and are not passed on: a fixed set, and
// those that its Connection header names (RFC 9110, section 7.6.1).
class HopByHopNames
{
public:
  explicit HopByHopNames(const transport::HeaderList& headers);

  bool contains(std::string_view name) const;

private:
  std::set<std::string> named_;
};

// Whether a header is written by this system, so that a caller's or a server's own is dropped.
bool isReserved(std::string_view name);

} // namespace sycamore::router
