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

// The servers that a command talks to. Tries them in order until one can be reached. Throws
// CtlError for each failure.
class Session
{
public:
  // Takes its settings from the flags.
  Session();

  // A call that changes nothing: another server is tried if one becomes unavailable.
  nlohmann::json read(const std::string& method, const nlohmann::json& request);
  // A call that may change something: sent to one server only, since a second one would report a
  // conflict with what the first has done.
  nlohmann::json change(const std::string& method, const nlohmann::json& request);
  void watchServices(const std::string& service,
                     const std::function<bool(const nlohmann::json&)>& onEvent);

private:
  operators::OperatorClient& connected();
  bool connectNext();

  std::vector<std::string> servers_;
  operators::OperatorClientSettings settings_;
  base::milliseconds timeout_;
  std::size_t next_ = 0;
  std::unique_ptr<operators::OperatorClient> client_;
};

} // namespace sycamore::ctl
