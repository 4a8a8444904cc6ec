#pragma once

#include <base/Time.h>
#include <operators/OperatorClient.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace sycamore::ctl {

// Connection of a command to one of the configured servers, which are tried in order until one can
// be reached. Methods throw CtlError for each failure.
class Session
{
public:
  // Reads its settings from the flags and the environment.
  Session();

  // Makes a call that changes nothing. The next server is tried if one is unavailable.
  nlohmann::json read(const std::string& method, const nlohmann::json& request);
  // Makes a call that may change something. It is sent to one server only: if the first one had
  // made the change, a second one would report a conflict with it.
  nlohmann::json change(const std::string& method, const nlohmann::json& request);
  // Watches a service, or all if the name is empty, until --timeout or until onEvent returns false.
  void watchServices(const std::string& service,
                     const std::function<bool(const nlohmann::json&)>& onEvent);

private:
  // Returns the connected client, after connecting if there is none. Throws CtlError (Unreachable)
  // if no server is left.
  operators::OperatorClient& connectedClient();
  bool connectToNextServer();

  std::vector<std::string> servers_;
  operators::OperatorClientSettings settings_;
  base::milliseconds timeout_;
  // Index of the next server to try.
  std::size_t nextServer_ = 0;
  std::unique_ptr<operators::OperatorClient> client_;
};

} // namespace sycamore::ctl
