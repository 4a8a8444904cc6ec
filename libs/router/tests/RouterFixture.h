#pragma once

#include "FakeBackend.h"

#include <base/Time.h>
#include <doctest/doctest.h>
#include <placement/ShardMapBuilder.h>
#include <requests/Uuid7.h>
#include <router/Headers.h>
#include <router/RequestRouter.h>
#include <transport/HttpClientPool.h>
#include <transport/HttpServer.h>

#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::router::testing {

using transport::BufferedResponse;
using transport::ExchangeResult;

constexpr std::uint32_t kShardCount = 4;
inline std::string newId(base::Duration age = {})
{
  static thread_local std::mt19937_64 random(std::random_device{}());
  const auto millis = std::chrono::duration_cast<milliseconds>(age);
  return requests::Uuid7::make(wallTime() - millis, random).toRequestId().value();
}

// An entry VM: its router behind a port for callers and a port for peers.
class EntryVm
{
public:
  explicit EntryVm(const std::string& name)
    : id(name)
    , clients({}, faults)
    , router({ id, routing, dispatchers, quarantine, clients, observer(), {} }, {})
    , callers_({},
               [this](ServerRequest& request, ServerResponse& response) {
                 router.handleCaller(request, response);
               })
    , peers_({}, [this](ServerRequest& request, ServerResponse& response) {
      router.handleForwarded(request, response);
    })
  {
    address = callers_.bind({ "127.0.0.1", 0 }).toString();
    peerAddress = peers_.bind({ "127.0.0.1", 0 }).toString();
    callers_.start();
    peers_.start();
  }
  ~EntryVm()
  {
    callers_.stop(after(std::chrono::seconds(2)));
    peers_.stop(after(std::chrono::seconds(2)));
  }

  std::vector<RequestRecord> records() const
  {
    std::lock_guard lock(mutex_);
    return records_;
  }

  const base::VmId id;
  std::string address;
  std::string peerAddress;
  transport::FaultSwitch faults;
  transport::HttpClientPool clients;
  RoutingPublisher routing;
  DispatcherTable dispatchers;
  QuarantineRegistry quarantine;
  RequestRouter router;

private:
  RequestObserver observer()
  {
    return [this](const RequestRecord& record) {
      std::lock_guard lock(mutex_);
      records_.push_back(record);
    };
  }

  mutable std::mutex mutex_;
  std::vector<RequestRecord> records_;
  transport::HttpServer callers_;
  transport::HttpServer peers_;
};

// Settings of a dispatcher without cold start and back-off, which libs/admission tests.
inline admission::ServerGateSettings warmGate(unsigned slots)
{
  admission::ServerGateSettings settings;
  settings.slots = slots;
  settings.coldStart.coldLimit = slots;
  settings.coldStart.slowFactor = 1e9;
  settings.backoff.reset();
  return settings;
}

inline std::shared_ptr<const GrantView> grantOf(const std::string& shards,
                                                base::Duration validity = std::chrono::minutes(1))
{
  auto grant = std::make_shared<GrantView>();
  grant->term = base::Term(1);
  grant->generation = base::Generation(1);
  grant->shards = ownership::ShardSet::parse(shards);
  grant->validUntil = after(validity);
  return grant;
}

inline std::shared_ptr<ServerDispatcher> makeDispatcher(
  const std::string& server,
  const std::string& address,
  const admission::ServerGateSettings& gate = warmGate(2),
  const requests::DeduplicationSettings& deduplication = {})
{
  const base::TimePoint now = base::SteadyClock().now();
  auto dispatcher = std::make_shared<ServerDispatcher>(
    base::ServerId(server), address, base::DomainId("a"), gate, deduplication, now, wallTime());
  dispatcher->setGrant(grantOf("0-3"));
  dispatcher->onServerReport({ base::Incarnation(1), admission::ReportedState::Warm, now });
  return dispatcher;
}

// The service "layout": four shards, all owned by the first server, with the idempotent method
// "plan" and the non-idempotent "reset".
inline std::shared_ptr<configuration::ConfigSnapshot> layoutConfig()
{
  configuration::ServiceConfig service;
  service.service = base::ServiceId("layout");
  service.shards = kShardCount;
  service.limits.bodyBytes = std::uint64_t(64) << 20;
  service.methods[base::MethodId("plan")] = { true, milliseconds(5000), 3, 0.1 };
  service.methods[base::MethodId("reset")] = { false, milliseconds(5000), 1, 0.1 };
  auto config = std::make_shared<configuration::ConfigSnapshot>();
  config->services[service.service] = service;
  return config;
}

inline ServerRoute routeTo(const std::string& server,
                           const std::string& address,
                           const EntryVm* holder,
                           const EntryVm& at)
{
  ServerRoute route;
  route.id = base::ServerId(server);
  route.service = base::ServiceId("layout");
  route.address = address;
  route.domain = base::DomainId("a");
  route.term = base::Term(1);
  if (holder != nullptr) {
    route.holder = holder->id;
    route.holderAddress = holder == &at ? "" : holder->peerAddress;
  }
  return route;
}

// Publishes a routing table in which the first of the servers owns all shards.
inline void publish(EntryVm& vm,
                    const std::vector<ServerRoute>& servers,
                    std::shared_ptr<configuration::ConfigSnapshot> config = layoutConfig())
{
  placement::ShardMapBuilder builder(base::ServiceId("layout"), kShardCount);
  ServiceRoute route;
  for (const ServerRoute& server : servers) {
    builder.setServer(server.id, { server.address, server.domain, { base::VmId("vm-a1") } });
    route.servers[server.id] = server;
  }
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    builder.assign(base::ShardId(shard), servers.front().id, std::nullopt);
  }
  route.map = std::make_shared<const placement::ShardMap>(builder.build());
  std::map<base::ServiceId, ServiceRoute> services{ { base::ServiceId("layout"), route } };
  vm.routing.publish(std::make_shared<const RoutingTable>(std::move(config), services));
}

// A caller's connection.
class Caller
{
public:
  BufferedResponse call(const EntryVm& vm,
                        const std::string& path,
                        HeaderList headers = { { kKeyHeader, "store-1" } },
                        const std::string& body = "")
  {
    return callAt(vm.address, path, std::move(headers), body);
  }

  BufferedResponse callAt(const std::string& address,
                          const std::string& path,
                          HeaderList headers,
                          const std::string& body)
  {
    transport::ClientRequest request;
    request.path = path;
    request.headers = std::move(headers);
    request.body = body;
    return clients_.fetch(address, request, after(kWaitTimeout), std::size_t(64) << 20);
  }

  // Calls the non-idempotent method.
  BufferedResponse reset(const EntryVm& vm,
                         const std::string& id,
                         const std::string& body = "order",
                         unsigned attempt = 1)
  {
    return call(vm,
                "/v1/layout/reset",
                { { kKeyHeader, "store-1" },
                  { kRequestIdHeader, id },
                  { kAttemptHeader, std::to_string(attempt) } },
                body);
  }

  // Resends until the first send is settled: the dispatcher records its end slightly after the
  // caller has received the answer, and a resend before that is refused as in-progress.
  BufferedResponse resend(const EntryVm& vm,
                          const std::string& id,
                          const std::string& body = "order",
                          unsigned attempt = 2)
  {
    BufferedResponse answer;
    eventually([&] {
      answer = reset(vm, id, body, attempt);
      return answer.head.header("sycamore-reason") != "in-progress";
    });
    return answer;
  }

private:
  transport::FaultSwitch faults_;
  transport::HttpClientPool clients_{ {}, faults_ };
};

// Returns "<outcome> <reason>" of an answer, with "-" for a missing header.
inline std::string verdictOf(const BufferedResponse& response)
{
  return response.head.header("sycamore-outcome").value_or("-") + " " +
         response.head.header("sycamore-reason").value_or("-");
}

// Returns whether a request was refused for `reason`, or expired, as not run. Each attempt until
// the deadline is refused for `reason`, but the last one may start just before the deadline and
// expire.
inline bool isRefusedUntilDeadline(const BufferedResponse& response, const std::string& reason)
{
  const std::string verdict = verdictOf(response);
  return verdict == "not-run " + reason || verdict == "not-run expired";
}

// One entry VM that holds the server lease of one backend server.
struct SingleVmFixture
{
  explicit SingleVmFixture(FakeBackend::Handler handler = FakeBackend::answerOk, unsigned slots = 2)
    : backend(std::move(handler))
    , dispatcher(makeDispatcher("layout-1", backend.address, warmGate(slots)))
  {
    vm.dispatchers.insert(dispatcher);
    publish(vm, { routeTo("layout-1", backend.address, &vm, vm) });
  }

  FakeBackend backend;
  std::shared_ptr<ServerDispatcher> dispatcher;
  EntryVm vm{ "vm-a1" };
  Caller caller;
};

// Two entry VMs: `forwarder` receives callers' requests, `holder` holds the server lease.
struct ForwardingFixture
{
  explicit ForwardingFixture(FakeBackend::Handler handler = FakeBackend::answerOk)
    : backend(std::move(handler))
    , dispatcher(makeDispatcher("layout-1", backend.address))
  {
    holder.dispatchers.insert(dispatcher);
    publish(holder, { routeTo("layout-1", backend.address, &holder, holder) });
    publish(forwarder, { routeTo("layout-1", backend.address, &holder, forwarder) });
  }

  FakeBackend backend;
  std::shared_ptr<ServerDispatcher> dispatcher;
  EntryVm holder{ "vm-a2" };
  EntryVm forwarder{ "vm-a1" };
  Caller caller;
};

} // namespace sycamore::router::testing
