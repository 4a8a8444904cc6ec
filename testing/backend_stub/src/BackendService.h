#pragma once

#include "BackendFaults.h"
#include "Capacity.h"
#include "GrantCheck.h"
#include "Journal.h"
#include "LoadReport.h"
#include "WorkRunner.h"

#include <base/Time.h>
#include <test_http/StubHttpServer.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sycamore::backend_stub {

// The HTTP interface of a backend server, see section 5 of docs/design.md.
class BackendService
{
public:
  struct Options
  {
    std::string server;
    Capacity::Limits capacity;
    bool checkTokens = true;
    base::Duration serviceTime{};
    base::Duration lag{};
    std::string journalFile;
  };

  // The server must outlive the last request to the service. registerHandlers() registers the
  // handlers with it.
  BackendService(Options options, test_http::StubHttpServer& server);
  void registerHandlers();

private:
  using Request = httplib::Request;
  using Response = httplib::Response;
  using Handler = void (BackendService::*)(const Request&, Response&);

  httplib::Server::Handler toHttpHandler(Handler handler);
  void registerWorkHandlers();

  void grant(const Request& request, Response& response);
  void release(const Request& request, Response& response);
  void cancel(const Request& request, Response& response);
  void health(const Request& request, Response& response);
  void load(const Request& request, Response& response);
  void journal(const Request& request, Response& response);
  void stats(const Request& request, Response& response);
  void drain(const Request& request, Response& response);
  void setFaults(const Request& request, Response& response);

  void handleWork(const Request& request, Response& response, const httplib::ContentReader* reader);
  Capacity::Slot admit(const Work& work, std::string& reason);
  void execute(const Work& work,
               const Request& request,
               Response& response,
               const httplib::ContentReader* reader,
               Capacity::Slot slot);
  void refuse(const Work& work,
              Response& response,
              const std::string& outcome,
              const std::string& reason);
  void setOutcomeHeaders(const Work& work, Response& response, const std::string& outcome);

  std::string state(base::TimePoint now) const;
  void recordLoad();

  const Options options_;
  const base::SteadyClock clock_{};
  const std::uint64_t incarnation_;
  test_http::StubHttpServer& server_;
  GrantCheck grants_;
  Capacity capacity_;
  Journal journal_;
  BackendFaults faults_;
  LoadReport load_;
  WorkRunner runner_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> refuseGrants_ = false;
  std::mutex refusedMutex_;
  std::map<std::string, std::uint64_t> refused_;
};

} // namespace sycamore::backend_stub
