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

constexpr std::uint32_t kShards = 4;
inline std::string newId(base::Duration age = {})
{
  static thread_local std::mt19937_64 random(std::random_device{}());
  const auto millis = std::chrono::duration_cast<milliseconds>(age);
  return requests::Uuid7::make(wallTime() - millis, random).toRequestId().value();
}

// One entry VM: its router behind a callers' and a peers' port.
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

// Settings of one dispatcher without cold start and back-off, which have tests of their own.
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
                                                base::Duration life = std::chrono::minutes(1))
{
  auto grant = std::make_shared<GrantView>();
  grant->term = base::Term(1);
  grant->generation = base::Generation(1);
  grant->shards = ownership::ShardSet::parse(shards);
  grant->validUntil = after(life);
  return grant;
}

inline std::shared_ptr<ServerDispatcher> makeDispatcher(
  const std::string& server,
  const std::string& address,
  const admission::ServerGateSettings& gate = warmGate(2),
  const requests::DeduplicationSettings& ledger = {})
{
  const base::TimePoint now = base::SteadyClock().now();
  auto dispatcher = std::make_shared<ServerDispatcher>(
    base::ServerId(server), address, base::DomainId("a"), gate, ledger, now, wallTime());
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
  service.shards = kShards;
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

// Publishes a table in which the first of the servers owns all shards.
inline void publish(EntryVm& vm,
                    const std::vector<ServerRoute>& servers,
                    std::shared_ptr<configuration::ConfigSnapshot> config = layoutConfig())
{
  placement::ShardMapBuilder builder(base::ServiceId("layout"), kShards);
  ServiceRoute route;
  for (const ServerRoute& server : servers) {
    builder.setServer(server.id, { server.address, server.domain, { base::VmId("vm-a1") } });
    route.servers[server.id] = server;
  }
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
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
    return clients_.fetch(address, request, after(kPatience), std::size_t(64) << 20);
  }

  // A call of the non-idempotent method.
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

  // A resend once the first send is settled: the dispatcher notes its end slightly after the caller
  // has its answer, and a resend in between is in progress.
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

// "<outcome> <reason>" of an answer.
inline std::string verdictOf(const BufferedResponse& response)
{
  return response.head.header("sycamore-outcome").value_or("-") + " " +
         response.head.header("sycamore-reason").value_or("-");
}

// Whether a request that was refused for `reason` until its deadline was answered so, not run. The
// last attempt can start just before the deadline and then expires instead.
inline bool isRefusedUntilDeadline(const BufferedResponse& response, const std::string& reason)
{
  const std::string verdict = verdictOf(response);
  return verdict == "not-run " + reason || verdict == "not-run expired";
}

// One entry VM that holds the tenancy of one backend server.
struct LocalWorld
{
  explicit LocalWorld(FakeBackend::Work work = FakeBackend::answerOk, unsigned slots = 2)
    : backend(std::move(work))
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

// Two entry VMs: callers reach `front`, `holder` dispatches.
struct ForwardingWorld
{
  explicit ForwardingWorld(FakeBackend::Work work = FakeBackend::answerOk)
    : backend(std::move(work))
    , dispatcher(makeDispatcher("layout-1", backend.address))
  {
    holder.dispatchers.insert(dispatcher);
    publish(holder, { routeTo("layout-1", backend.address, &holder, holder) });
    publish(front, { routeTo("layout-1", backend.address, &holder, front) });
  }

  FakeBackend backend;
  std::shared_ptr<ServerDispatcher> dispatcher;
  EntryVm holder{ "vm-a2" };
  EntryVm front{ "vm-a1" };
  Caller caller;
};

} // namespace sycamore::router::testing
