#pragma once

#include <entry/BufferQuota.h>
#include <entry/MessageReader.h>

#include <base/Ids.h>
#include <base/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::entry {

// An answer to a caller.
struct CallerAnswer
{
  unsigned status = 503;
  std::string reason;
  // Header lines, each with its line end, without those that frame the message.
  std::string headers;
  std::string body;
  // Memory that the server's answer takes until the caller has received it.
  BufferReservation memory;
};

// Returns an answer that the router itself gives. `retryAfter` is the delay after which the caller
// may retry.
CallerAnswer makeAnswer(unsigned status,
                        std::string_view requestId,
                        std::string_view message,
                        std::optional<base::Duration> retryAfter = std::nullopt);

// Converts a server's answer, without the headers that concern only the server's connection.
CallerAnswer toCallerAnswer(ServerAnswer&& answer);

// Returns the bytes of an answer. `headOnly` omits the body, for answers to HEAD requests.
std::string writeAnswer(const CallerAnswer& answer, bool close, bool headOnly);

// Returns the bytes of a request to a server: method, path, body and headers as received from the
// caller, without the headers that concern only the caller's connection, and with the headers that
// the router sets. `workspace` is null for a request without one.
std::string writeServerRequest(const Request& request,
                               const base::ServerId& server,
                               const base::WorkspaceId* workspace,
                               base::Duration timeLeft);

} // namespace sycamore::entry
