#pragma once

#include "ConfigChanger.h"

#include <control/ControlThread.h>
#include <control/Controller.h>
#include <operators/OperatorBackend.h>
#include <router/QuarantineRegistry.h>

#include <atomic>
#include <functional>
#include <string>

namespace sycamore::daemon {

// Answers operators' calls from the control state, and writes their changes to the platform.
// Thread-safe; its calls run on gRPC's threads.
class OperatorGateway : public operators::OperatorBackend
{
public:
  OperatorGateway(control::ControlThread& thread,
                  control::Controller& controller,
                  router::QuarantineRegistry& quarantine,
                  transport::HttpClientPool& clients,
                  std::string platformAddress,
                  std::string version);

  // Sets the function that creates burn reports; without it burnReport() fails as unavailable.
  void setBurnReporter(std::function<operators::BurnReport(const operators::BurnReportRequest&,
                                                           base::TimePoint)> reporter);

  operators::ChangeReply createService(const operators::ServiceChange& request,
                                       const operators::CallContext& context) override;
  operators::ChangeReply updateService(const operators::ServiceChange& request,
                                       const operators::CallContext& context) override;
  operators::ChangeReply deleteService(const operators::ServiceDeletion& request,
                                       const operators::CallContext& context) override;
  operators::StoredObject getService(const operators::ServiceQuery& request,
                                     const operators::CallContext& context) override;
  operators::ServiceList listServices(const operators::ListServicesRequest& request,
                                      const operators::CallContext& context) override;
  operators::ChangeBatch changesAfter(std::uint64_t cursor, base::TimePoint until) override;

  operators::DomainList listDomains(const operators::ListDomainsRequest& request,
                                    const operators::CallContext& context) override;
  operators::ChangeReply takeDomainOut(const operators::DomainChange& request,
                                       const operators::CallContext& context) override;
  operators::ChangeReply bringDomainBack(const operators::DomainChange& request,
                                         const operators::CallContext& context) override;

  operators::Placement showPlacement(const operators::ServiceQuery& request,
                                     const operators::CallContext& context) override;
  operators::ChangeReply planMove(const operators::MovePlan& request,
                                  const operators::CallContext& context) override;
  operators::ChangeReply drainServer(const operators::ServerDrain& request,
                                     const operators::CallContext& context) override;
  operators::KeyExplanation explainKey(const operators::KeyQuery& request,
                                       const operators::CallContext& context) override;
  operators::OwnerList listOwners(const operators::ServiceQuery& request,
                                  const operators::CallContext& context) override;
  operators::TenancyList listTenancies(const operators::ServiceQuery& request,
                                       const operators::CallContext& context) override;
  operators::MoveList listMoves(const operators::ServiceQuery& request,
                                const operators::CallContext& context) override;

  operators::QuarantineList listQuarantine(const operators::ListQuarantineRequest& request,
                                           const operators::CallContext& context) override;
  operators::ChangeReply liftQuarantine(const operators::QuarantineLift& request,
                                        const operators::CallContext& context) override;

  operators::ConfigStatus configStatus(const operators::ConfigStatusRequest& request,
                                       const operators::CallContext& context) override;
  operators::BurnReport burnReport(const operators::BurnReportRequest& request,
                                   const operators::CallContext& context) override;
  operators::ChangeReply setLogLevel(const operators::LogLevelChange& request,
                                     const operators::CallContext& context) override;
  operators::VersionReply version(const operators::VersionRequest& request,
                                  const operators::CallContext& context) override;

private:
  // Runs a function on the control thread and returns its result. Throws OperatorError if there is
  // no result by the deadline.
  template<typename Function>
  auto onControl(Function function, base::TimePoint deadline) -> decltype(function());

  operators::ChangeReply changeService(const std::string& service,
                                       std::uint64_t baseVersion,
                                       const std::string& document,
                                       bool dryRun,
                                       const operators::CallContext& context);
  operators::ChangeReply changeDomain(const operators::DomainChange& request,
                                      bool inService,
                                      const operators::CallContext& context);
  operators::ChangeReply store(const configuration::ObjectName& name,
                               std::uint64_t baseVersion,
                               const std::string& document,
                               bool dryRun,
                               const operators::CallContext& context);
  std::set<base::DomainId> knownDomains(base::TimePoint deadline);
  control::StoredMap mapOf(const std::string& service, base::TimePoint deadline);
  std::vector<control::ChangeOrder> ordersFor(const operators::MovePlan& request,
                                              const placement::ShardMap& map,
                                              base::TimePoint deadline);
  bool waitUntilMoved(const std::vector<control::ChangeOrder>& orders,
                      const std::string& service,
                      base::TimePoint deadline,
                      std::uint64_t& generation);
  std::string writerToken();

  control::ControlThread& thread_;
  control::Controller& controller_;
  router::QuarantineRegistry& quarantine_;
  ConfigChanger configChanger_;
  const std::string version_;
  const std::string vm_;
  std::atomic<std::uint64_t> nextWriterNumber_{ 1 };
  std::function<operators::BurnReport(const operators::BurnReportRequest&, base::TimePoint)>
    burnReporter_;
};

} // namespace sycamore::daemon
