#pragma once

#include <control/ControlThread.h>
#include <control/Controller.h>
#include <router/RequestRouter.h>
#include <transport/HttpServer.h>

#include <functional>
#include <map>
#include <string>

namespace sycamore::daemon {

// Serves the peer port: forwarded requests are handled on the calling thread, messages between the
// entry VMs on the control thread.
class PeerApi
{
public:
  PeerApi(control::ControlThread& thread,
          control::Controller& controller,
          router::RequestRouter& router);

  void handle(transport::ServerRequest& request, transport::ServerResponse& response);

private:
  using MessageHandler = std::function<std::string(const std::string& body)>;

  control::ControlThread& thread_;
  router::RequestRouter& router_;
  std::map<std::string, MessageHandler> handlers_;
};

} // namespace sycamore::daemon
