#pragma once

#include "CallCounts.h"
#include "ObjectTable.h"
#include "PlatformFaults.h"
#include "RateLimit.h"
#include "VmList.h"

#include <base/Time.h>
#include <test_http/StubHttpServer.h>

#include <cstddef>

namespace sycamore::platform_stub {

// The platform's object API over HTTP, see section 5 of docs/design.md. Rate limits and faults do
// not apply to /admin, /faults and /stats.
class PlatformService
{
public:
  struct Limits
  {
    double writesPerSecond = 400;
    double readsPerSecond = 2000;
    std::size_t maxValueBytes = 1'000'000;
  };

  explicit PlatformService(const Limits& limits);

  // Registers the handlers. The service must outlive the server.
  void registerHandlers(test_http::StubHttpServer& server);

private:
  using Request = httplib::Request;
  using Response = httplib::Response;
  using Handler = void (PlatformService::*)(const Request&, Response&);

  httplib::Server::Handler makeHandler(const char* name, RateLimit& limit, Handler handler);
  bool admit(const char* name, RateLimit& limit, const std::string& kind, Response& response);

  void getObject(const Request& request, Response& response);
  void listObjects(const Request& request, Response& response);
  void putObject(const Request& request, Response& response);
  void deleteObject(const Request& request, Response& response);
  void watchObjects(const Request& request, Response& response);
  void listVms(const Request& request, Response& response);
  void answerWrite(const ObjectTable::WriteResult& result, Response& response);

  void putVm(const Request& request, Response& response);
  void deleteVm(const Request& request, Response& response);
  void setFaults(const Request& request, Response& response);
  void stats(const Request& request, Response& response);

  const Limits limits_;
  const base::SteadyClock clock_{};
  RateLimit writes_;
  RateLimit reads_;
  ObjectTable objects_;
  VmList vms_;
  PlatformFaults faults_;
  CallCounts calls_;
};

} // namespace sycamore::platform_stub
