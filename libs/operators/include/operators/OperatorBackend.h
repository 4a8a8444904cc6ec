#pragma once

#include <operators/CallContext.h>
#include <operators/ChangeReply.h>
#include <operators/DomainMessages.h>
#include <operators/PlacementMessages.h>
#include <operators/QuarantineMessages.h>
#include <operators/ServiceMessages.h>
#include <operators/StatusMessages.h>

#include <cstdint>
#include <vector>

namespace sycamore::operators {

// Changes since an earlier call of OperatorBackend::changesAfter().
struct ChangeBatch
{
  // Cursor to pass to the next call.
  std::uint64_t cursor = 0;
  std::vector<StoredObject> objects;
};

// Interface to which an OperatorService forwards its calls; the daemon implements it. Methods are
// called from several threads at once. A method must return by the context's deadline. It throws
// OperatorError to answer with a status other than OK; any other exception is reported as an
// internal error. An outcome such as a conflict is a reply, not an exception.
class OperatorBackend
{
public:
  virtual ~OperatorBackend() = default;

  virtual ChangeReply createService(const ServiceChange& request, const CallContext& context) = 0;
  virtual ChangeReply updateService(const ServiceChange& request, const CallContext& context) = 0;
  virtual ChangeReply deleteService(const ServiceDeletion& request, const CallContext& context) = 0;
  virtual StoredObject getService(const ServiceQuery& request, const CallContext& context) = 0;
  virtual ServiceList listServices(const ListServicesRequest& request,
                                   const CallContext& context) = 0;
  // Returns the service objects, deleted ones included, that took effect on this VM after the
  // cursor. Waits until there is at least one, but no longer than until `until`. Cursor 0 returns
  // all objects without waiting. Of several changes of one object, only the last may be returned.
  virtual ChangeBatch changesAfter(std::uint64_t cursor, base::TimePoint until) = 0;

  virtual DomainList listDomains(const ListDomainsRequest& request, const CallContext& context) = 0;
  virtual ChangeReply takeDomainOut(const DomainChange& request, const CallContext& context) = 0;
  virtual ChangeReply bringDomainBack(const DomainChange& request, const CallContext& context) = 0;

  virtual Placement showPlacement(const ServiceQuery& request, const CallContext& context) = 0;
  virtual ChangeReply planMove(const MovePlan& request, const CallContext& context) = 0;
  virtual ChangeReply drainServer(const ServerDrain& request, const CallContext& context) = 0;
  virtual KeyExplanation explainKey(const KeyQuery& request, const CallContext& context) = 0;
  virtual OwnerList listOwners(const ServiceQuery& request, const CallContext& context) = 0;
  virtual TenancyList listTenancies(const ServiceQuery& request, const CallContext& context) = 0;
  virtual MoveList listMoves(const ServiceQuery& request, const CallContext& context) = 0;

  virtual QuarantineList listQuarantine(const ListQuarantineRequest& request,
                                        const CallContext& context) = 0;
  virtual ChangeReply liftQuarantine(const QuarantineLift& request, const CallContext& context) = 0;

  virtual ConfigStatus configStatus(const ConfigStatusRequest& request,
                                    const CallContext& context) = 0;
  virtual BurnReport burnReport(const BurnReportRequest& request, const CallContext& context) = 0;
  virtual ChangeReply setLogLevel(const LogLevelChange& request, const CallContext& context) = 0;
  virtual VersionReply version(const VersionRequest& request, const CallContext& context) = 0;
};

} // namespace sycamore::operators
