#pragma once

#include <operators/OperatorBackend.h>
#include <operators/OperatorError.h>

#include <condition_variable>
#include <mutex>
#include <string>

namespace sycamore::operators {

// Answers each call with a reply that has one row in each of its lists, and records the name of the
// method. A change must be based on version 7, a creation on version 0; others are a conflict. Some
// names of services select other behaviour: see getService() and deleteService().
class FakeBackend : public OperatorBackend
{
public:
  using Context = CallContext;

  std::string lastMethod()
  {
    const std::lock_guard lock(mutex_);
    return lastMethod_;
  }

  ChangeReply createService(const ServiceChange& request, const Context&) override
  {
    return change("createService", request.baseVersion == 0, request.dryRun);
  }
  ChangeReply updateService(const ServiceChange& request, const Context&) override
  {
    return change("updateService", request.baseVersion == 7, request.dryRun);
  }
  ChangeReply deleteService(const ServiceDeletion& request, const Context&) override
  {
    ChangeReply reply = change("deleteService", request.baseVersion == 7, request.dryRun);
    if (request.service == "doubtful") {
      reply.outcome = ReplyOutcome::InDoubt;
    } else if (request.service == "faulty") {
      reply.outcome = ReplyOutcome::Refused;
    }
    return reply;
  }
  StoredObject getService(const ServiceQuery& request, const Context& context) override
  {
    recordMethod("getService");
    if (request.service == "absent") {
      throw OperatorError(OperatorErrorCode::NotFound, "there is no service \"absent\"");
    }
    if (request.service == "broken") {
      throw std::runtime_error("broken backend");
    }
    if (request.service == "slow") {
      std::unique_lock lock(mutex_);
      const base::Duration remaining = context.deadline - base::SteadyClock().now();
      neverNotified_.wait_for(lock, remaining, [] { return false; });
      throw OperatorError(OperatorErrorCode::DeadlineExceeded, "too slow");
    }
    return layout();
  }
  ServiceList listServices(const ListServicesRequest&, const Context&) override
  {
    recordMethod("listServices");
    return { { layout() } };
  }
  ChangeBatch changesAfter(std::uint64_t cursor, base::TimePoint until) override
  {
    if (cursor == 0) {
      return { 1, { layout(), { "service.label", 3, "", true } } };
    }
    std::unique_lock lock(mutex_);
    neverNotified_.wait_for(lock, until - base::SteadyClock().now(), [] { return false; });
    return { cursor, {} };
  }
  DomainList listDomains(const ListDomainsRequest&, const Context&) override
  {
    recordMethod("listDomains");
    return { { { "a", "in", 7, 4, 20 } } };
  }
  ChangeReply takeDomainOut(const DomainChange& request, const Context&) override
  {
    return change("takeDomainOut", request.baseVersion == 7, request.dryRun);
  }
  ChangeReply bringDomainBack(const DomainChange& request, const Context&) override
  {
    return change("bringDomainBack", request.baseVersion == 7, request.dryRun);
  }
  Placement showPlacement(const ServiceQuery&, const Context&) override
  {
    recordMethod("showPlacement");
    return { "layout", 7, { { 256, "store-\xff", "layout-1", "layout-9" } } };
  }
  ChangeReply planMove(const MovePlan& request, const Context&) override
  {
    return change("planMove", request.baseVersion == 7, request.dryRun);
  }
  ChangeReply drainServer(const ServerDrain& request, const Context&) override
  {
    return change("drainServer", request.baseVersion == 7, request.dryRun);
  }
  KeyExplanation explainKey(const KeyQuery& request, const Context&) override
  {
    recordMethod("explainKey " + request.key);
    return { "layout",   3,       false,      "layout-1", 7, 90'000, "failover of layout-2",
             "layout-9", "vm-a1", 1ULL << 60, "active" };
  }
  OwnerList listOwners(const ServiceQuery&, const Context&) override
  {
    recordMethod("listOwners");
    return { { { "layout", "layout-1", "a", 12, 1 } } };
  }
  TenancyList listTenancies(const ServiceQuery&, const Context&) override
  {
    recordMethod("listTenancies");
    return { { { "layout", "layout-1", "vm-a1", 4, "active", { "vm-a1", "vm-a2" }, 250 } } };
  }
  MoveList listMoves(const ServiceQuery&, const Context&) override
  {
    recordMethod("listMoves");
    return { { { "layout", 3, "layout-1", "layout-2", "rebalance", "done", 10 } } };
  }
  QuarantineList listQuarantine(const ListQuarantineRequest&, const Context&) override
  {
    recordMethod("listQuarantine");
    return { { { "q1", 7, "layout", "plan", 2, 1000, "crashed 2 servers" } } };
  }
  ChangeReply liftQuarantine(const QuarantineLift& request, const Context&) override
  {
    return change("liftQuarantine", request.baseVersion == 7, request.dryRun);
  }
  ConfigStatus configStatus(const ConfigStatusRequest&, const Context&) override
  {
    recordMethod("configStatus");
    return { { { "vm-a1", "a", "0123456789abcdef", true, 10 } },
             { { "service.layout", 7, false } },
             { { "domain.b", 3, 2, { { "/state", "must be \"in\" or \"out\"" } } } },
             true };
  }
  BurnReport burnReport(const BurnReportRequest& request, const Context&) override
  {
    recordMethod("burnReport");
    return { { { "layout", "1h", 0.9995, 0.999, 0.5, 100'000 } }, request.html ? "<html>" : "" };
  }
  ChangeReply setLogLevel(const LogLevelChange& request, const Context&) override
  {
    return change("setLogLevel", request.level != "loud", false);
  }
  VersionReply version(const VersionRequest&, const Context&) override
  {
    recordMethod("version");
    return { "0.1.0", "vm-a1" };
  }

private:
  static StoredObject layout() { return { "service.layout", 7, R"({"service":"layout"})", false }; }

  void recordMethod(const std::string& method)
  {
    const std::lock_guard lock(mutex_);
    lastMethod_ = method;
  }

  ChangeReply change(const std::string& method, bool isBaseCurrent, bool dryRun)
  {
    recordMethod(method);
    ChangeReply reply;
    reply.outcome = !isBaseCurrent ? ReplyOutcome::Conflict
                    : dryRun       ? ReplyOutcome::Planned
                                   : ReplyOutcome::Confirmed;
    reply.version = isBaseCurrent ? 8 : 7;
    reply.faults = { { "/a", "b" } };
    reply.differences = { { "/votes", "\"hold\"", "\"move\"" } };
    reply.moves = { { 3, "layout-1", "layout-2" } };
    return reply;
  }

  std::mutex mutex_;
  std::condition_variable neverNotified_;
  std::string lastMethod_;
};

} // namespace sycamore::operators
