#pragma once

#include <deque>
#include <functional>
#include <platform/Transport.h>
#include <vector>

namespace sycamore::platform {

// Fake transport that records calls and answers them from a script. After the end of the script the
// platform is unreachable.
class ScriptedTransport
{
public:
  using Step = std::function<HttpReply()>;

  void answer(int status, std::string body)
  {
    steps_.push_back([=] { return HttpReply{ status, body }; });
  }

  // Adds a call without an answer to the script.
  void fail(bool maybeArrived)
  {
    steps_.push_back([=]() -> HttpReply { throw TransportError("no answer", maybeArrived); });
  }

  HttpReply exchange(const HttpCall& call, base::TimePoint /*deadline*/)
  {
    calls.push_back(call);
    if (steps_.empty()) {
      throw TransportError("unreachable", false);
    }
    const Step step = std::move(steps_.front());
    steps_.pop_front();
    return step();
  }

  std::vector<HttpCall> calls;

private:
  std::deque<Step> steps_;
};

static_assert(Transport<ScriptedTransport>);

} // namespace sycamore::platform
