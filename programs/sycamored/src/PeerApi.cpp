#include "PeerApi.h"

#include <control/ControlError.h>

namespace sycamore::daemon {

namespace {

constexpr std::size_t kMaxBodyBytes = 4 << 20;
// Votes are valid for 300 ms, so a later answer would be useless.
constexpr base::milliseconds kControlTimeout{ 500 };

} // namespace

PeerApi::PeerApi(control::ControlThread& thread,
                 control::Controller& controller,
                 router::RequestRouter& router)
  : thread_(thread)
  , router_(router)
{
  const auto addHandler =
    [this, &controller](const std::string& path,
                        std::string (control::Controller::*answer)(const std::string&)) {
      handlers_[path] = [&controller, answer](const std::string& body) {
        return (controller.*answer)(body);
      };
    };
  addHandler("/peer/heartbeat", &control::Controller::answerHeartbeat);
  addHandler("/peer/vote", &control::Controller::answerVotes);
  addHandler("/peer/permit", &control::Controller::answerPermits);
  addHandler("/peer/config", &control::Controller::answerConfig);
  addHandler("/peer/map", &control::Controller::answerMap);
  addHandler("/peer/quarantine", &control::Controller::answerQuarantine);
  addHandler("/peer/move", &control::Controller::answerMove);
  addHandler("/peer/load", &control::Controller::answerLoad);
}

void PeerApi::handle(transport::ServerRequest& request, transport::ServerResponse& response)
{
  if (request.path().starts_with("/peer/dispatch/")) {
    router_.handleForwarded(request, response);
    return;
  }
  const auto found = handlers_.find(request.path());
  if (found == handlers_.end() || request.method() != "POST") {
    response.send(404, "{\"message\":\"no such call\"}\n", "application/json");
    return;
  }
  const auto body = request.readBody(kMaxBodyBytes);
  if (!body) {
    response.closeConnection();
    response.send(413, "{\"message\":\"the body is too long\"}\n", "application/json");
    return;
  }
  try {
    const auto answer = thread_.ask([answer = found->second, text = *body] { return answer(text); },
                                    base::SteadyClock().now() + kControlTimeout);
    if (!answer) {
      response.send(503, "{\"message\":\"the control thread is busy\"}\n", "application/json");
      return;
    }
    response.send(200, *answer, "application/json");
  } catch (const base::Error& error) {
    response.send(400, std::string(error.what()) + "\n", "text/plain");
  }
}

} // namespace sycamore::daemon
