#pragma once

#include <base/Time.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sycamore::operators {

// Address and credentials for calls to an OperatorService.
struct OperatorClientSettings
{
  // "ip:port".
  std::string address{};
  // Token of the operator; calls carry no token if it is empty.
  std::string token{};
  // PEM text of the certificate authority that signed the server's certificate; if it is empty, the
  // connection is plaintext.
  std::string caCertificate{};
  // Name that the server's certificate must carry, if it differs from the address.
  std::string serverName{};
  // PEM texts of the client's own certificate and key, if the server requires one.
  std::string certificate{};
  std::string privateKey{};
};

// Client of an OperatorService. Requests and replies are JSON objects with the field names of
// proto/operators.proto; 64-bit integers are JSON numbers, and bytes are strings without any
// encoding. Failed calls throw OperatorError. Thread-safe.
class OperatorClient
{
public:
  explicit OperatorClient(OperatorClientSettings settings);
  ~OperatorClient();

  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  // Connects, and returns whether that succeeded within the timeout. With several servers, connect
  // before sending a change: a server that could not be reached has then certainly received
  // nothing.
  bool connect(base::milliseconds timeout);

  // Calls a method by its name in the schema, for example "GetService".
  nlohmann::json call(const std::string& method,
                      const nlohmann::json& request,
                      base::milliseconds timeout);

  // Watches a service, or all services if the name is empty. Returns at the timeout, when the
  // server ends the watch, or when onEvent returns false.
  void watchServices(const std::string& service,
                     base::milliseconds timeout,
                     const std::function<bool(const nlohmann::json&)>& onEvent);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::operators
