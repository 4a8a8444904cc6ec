#pragma once

#include <base/Error.h>
#include <base/Time.h>

#include <concepts>
#include <string>

namespace sycamore::platform {

struct HttpCall
{
  // "GET", "PUT" or "DELETE".
  std::string method;
  // Path and query, already encoded.
  std::string target;
  // JSON; empty for a call without a body.
  std::string body;
};

struct HttpReply
{
  int status = 0;
  std::string body;
};

// A call that didn't get a complete answer.
class TransportError : public base::Error
{
public:
  TransportError(const std::string& what, bool maybeArrived)
    : base::Error(what)
    , maybeArrived_(maybeArrived)
  {
  }

  // Returns false if it is certain that the call never reached the platform.
  bool maybeArrived() const { return maybeArrived_; }

private:
  bool maybeArrived_;
};

// Carries calls to the platform. exchange() blocks up to the deadline, throws TransportError and
// never sends a call twice.
template<typename T>
concept Transport = requires(T& transport, const HttpCall& call, base::TimePoint deadline)
{
  {
    transport.exchange(call, deadline)
    } -> std::same_as<HttpReply>;
};

} // namespace sycamore::platform
