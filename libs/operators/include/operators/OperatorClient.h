#pragma once

#include <base/Time.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sycamore::operators {

// How to reach an OperatorService.
struct OperatorClientSettings
{
  // "ip:port".
  std::string address{};
  // Empty sends none.
  std::string token{};
  // PEM text of the authority that signed the server's certificate; empty means plaintext.
  std::string authority{};
  // Name in the server's certificate, if it isn't the address.
  std::string serverName{};
  // PEM texts of the caller's own certificate and key, if the server asks for one.
  std::string certificate{};
  std::string privateKey{};
};

// Calls an OperatorService. Requests and replies are JSON objects with the field names of
// proto/operators.proto; 64-bit numbers are numbers, and bytes are strings as they are. Throws
// OperatorError for each failure. Safe from several threads.
class OperatorClient
{
public:
  explicit OperatorClient(OperatorClientSettings settings);
  ~OperatorClient();

  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  // Whether a connection can be made in time. A caller with several servers asks this before it
  // sends a change, so that it knows that a server which wasn't reached has got nothing.
  bool connect(base::milliseconds timeout);

  // Calls a method by the name in the schema, for example "GetService".
  nlohmann::json call(const std::string& method,
                      const nlohmann::json& request,
                      base::milliseconds timeout);

  // Watches services until the timeout, the end by the server, or an event for which onEvent
  // returns false. An empty name watches all services.
  void watchServices(const std::string& service,
                     base::milliseconds timeout,
                     const std::function<bool(const nlohmann::json&)>& onEvent);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::operators
