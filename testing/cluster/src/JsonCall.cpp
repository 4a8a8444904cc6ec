#include <test_cluster/JsonCall.h>

#include <base/Error.h>
#include <transport/FaultSwitch.h>
#include <transport/HttpClientPool.h>

namespace sycamore::test_cluster {

using nlohmann::json;

json callJson(const std::string& method,
              const std::string& address,
              const std::string& path,
              const json& body)
{
  const transport::FaultSwitch faults;
  transport::HttpClientPool clients({}, faults);
  transport::ClientRequest request;
  request.method = method;
  request.path = path;
  if (method != "GET") {
    request.body = body.dump();
    request.headers.emplace_back("Content-Type", "application/json");
  }
  const auto response =
    clients.fetch(address, request, base::SteadyClock().now() + std::chrono::seconds(5));
  if (!response.ok()) {
    throw base::Error(method + " " + address + path + " failed with status " +
                      std::to_string(response.head.status) + ": " + response.body);
  }
  return json::parse(response.body, nullptr, false);
}

} // namespace sycamore::test_cluster
