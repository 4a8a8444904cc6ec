#include "PeerApi.h"

#include <control/ControlError.h>

namespace sycamore::daemon {

namespace {

constexpr std::size_t kMaxBody = 4 << 20;
// An answer after this is of no use: votes last 300 ms.
constexpr base::milliseconds kControlTimeout{ 500 };

} // namespace

PeerApi::PeerApi(control::ControlThread& thread,
                 control::Controller& controller,
                 router::RequestRouter& router)
  : thread_(thread)
  , router_(router)
{
  const auto route = [this,
                      &controller](const std::string& path,
                                   std::string (control::Controller::*answer)(const std::string&)) {
    answers_[path] = [&controller, answer](const std::string& body) {
      return (controller.*answer)(body);
    };
  };
  route("/peer/heartbeat", &control::Controller::answerHeartbeat);
  route("/peer/vote", &control::Controller::answerVotes);
  route("/peer/permit", &control::Controller::answerPermits);
  route("/peer/config", &control::Controller::answerConfig);
  route("/peer/map", &control::Controller::answerMap);
  route("/peer/quarantine", &control::Controller::answerQuarantine);
  route("/peer/move", &control::Controller::answerMove);
  route("/peer/load", &control::Controller::answerLoad);
}

void PeerApi::handle(transport::ServerRequest& request, transport::ServerResponse& response)
{
  if (request.path().starts_with("/peer/dispatch/")) {
    router_.handleForwarded(request, response);
    return;
  }
  const auto found = answers_.find(request.path());
  if (found == answers_.end() || request.method() != "POST") {
    response.send(404, "{\"message\":\"no such call\"}\n", "application/json");
    return;
  }
  const auto body = request.readBody(kMaxBody);
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
