#pragma once

namespace sycamore::base {

// Returns whether an HTTP/1.1 message with this status can be an answer, or an interim one. Other
// numbers have no meaning. 101 is only sent to a client that asked for another protocol, which this
// project never does: what follows it is no HTTP.
constexpr bool isAnswerStatus(int status)
{
  constexpr int kSwitchingProtocols = 101;
  return status >= 100 && status <= 599 && status != kSwitchingProtocols;
}

} // namespace sycamore::base
