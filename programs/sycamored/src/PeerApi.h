#pragma once

#include <control/ControlThread.h>
#include <control/Controller.h>
#include <router/RequestRouter.h>
#include <transport/HttpServer.h>

#include <functional>
#include <map>
#include <string>

namespace sycamore::daemon {

// Serves the peer port: forwarded requests on traffic threads, messages by the control thread.
class PeerApi
{
public:
  PeerApi(control::ControlThread& thread,
          control::Controller& controller,
          router::RequestRouter& router);

  void handle(transport::ServerRequest& request, transport::ServerResponse& response);

private:
  using Answer = std::function<std::string(const std::string& body)>;

  control::ControlThread& thread_;
  router::RequestRouter& router_;
  std::map<std::string, Answer> answers_;
};

} // namespace sycamore::daemon
