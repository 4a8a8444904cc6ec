#pragma once

#include "CallLimiter.h"
#include "TokenAuthenticator.h"

#include <operators/OperatorBackend.h>
#include <operators/OperatorServiceSettings.h>

#include <operators.grpc.pb.h>

#include <atomic>
#include <functional>
#include <string>

namespace sycamore::operators {

// Implementation of the gRPC service Operators: checks each call and forwards it to the backend.
class OperatorRpc final : public v1::Operators::Service
{
public:
  // Both references must outlive this object.
  OperatorRpc(const OperatorServiceSettings& settings, OperatorBackend& backend);

  // Ends all watches.
  void stopWatches() { isStopping_ = true; }

  using Context = grpc::ServerContext;

  grpc::Status CreateService(Context*, const v1::ServiceChange*, v1::ChangeReply*) override;
  grpc::Status UpdateService(Context*, const v1::ServiceChange*, v1::ChangeReply*) override;
  grpc::Status DeleteService(Context*, const v1::ServiceDeletion*, v1::ChangeReply*) override;
  grpc::Status GetService(Context*, const v1::ServiceQuery*, v1::StoredObject*) override;
  grpc::Status ListServices(Context*, const v1::ListServicesRequest*, v1::ServiceList*) override;
  grpc::Status WatchServices(Context*,
                             const v1::WatchRequest*,
                             grpc::ServerWriter<v1::WatchEvent>*) override;
  grpc::Status ListDomains(Context*, const v1::ListDomainsRequest*, v1::DomainList*) override;
  grpc::Status TakeDomainOut(Context*, const v1::DomainChange*, v1::ChangeReply*) override;
  grpc::Status BringDomainBack(Context*, const v1::DomainChange*, v1::ChangeReply*) override;
  grpc::Status ShowPlacement(Context*, const v1::ServiceQuery*, v1::Placement*) override;
  grpc::Status PlanMove(Context*, const v1::MovePlan*, v1::ChangeReply*) override;
  grpc::Status DrainServer(Context*, const v1::ServerDrain*, v1::ChangeReply*) override;
  grpc::Status ExplainKey(Context*, const v1::KeyQuery*, v1::KeyExplanation*) override;
  grpc::Status ListOwners(Context*, const v1::ServiceQuery*, v1::OwnerList*) override;
  grpc::Status ListTenancies(Context*, const v1::ServiceQuery*, v1::TenancyList*) override;
  grpc::Status ListMoves(Context*, const v1::ServiceQuery*, v1::MoveList*) override;
  grpc::Status ListQuarantine(Context*,
                              const v1::ListQuarantineRequest*,
                              v1::QuarantineList*) override;
  grpc::Status LiftQuarantine(Context*, const v1::QuarantineLift*, v1::ChangeReply*) override;
  grpc::Status GetConfigStatus(Context*,
                               const v1::ConfigStatusRequest*,
                               v1::ConfigStatus*) override;
  grpc::Status GetBurnReport(Context*, const v1::BurnReportRequest*, v1::BurnReport*) override;
  grpc::Status SetLogLevel(Context*, const v1::LogLevelChange*, v1::ChangeReply*) override;
  grpc::Status GetVersion(Context*, const v1::VersionRequest*, v1::VersionReply*) override;

private:
  // Checks the call, acquires a slot of the limiter and runs the action with the call's context.
  // Converts exceptions to statuses.
  grpc::Status run(const Context& context,
                   OperatorRole requiredRole,
                   CallLimiter& limiter,
                   base::milliseconds maxDeadline,
                   const std::function<void(const CallContext&)>& action);

  // Runs the backend's method with the converted request, and converts its reply.
  template<typename Request, typename Reply>
  grpc::Status forward(const Context& context,
                       OperatorRole requiredRole,
                       const google::protobuf::Message& request,
                       google::protobuf::Message& reply,
                       Reply (OperatorBackend::*method)(const Request&, const CallContext&));

  // Forwards a call that changes something. It needs the role Change, unless it is a dry run.
  template<typename Message, typename Request>
  grpc::Status change(const Context& context,
                      const Message& request,
                      v1::ChangeReply& reply,
                      ChangeReply (OperatorBackend::*method)(const Request&, const CallContext&));

  // Forwards a call that changes nothing and needs the role ReadOnly.
  template<typename Request, typename Reply>
  grpc::Status read(const Context& context,
                    const google::protobuf::Message& request,
                    google::protobuf::Message& reply,
                    Reply (OperatorBackend::*method)(const Request&, const CallContext&));

  // Checks the token, the role and the deadline of a call. Throws OperatorError for a call that may
  // not run.
  CallContext admit(const Context& context,
                    OperatorRole requiredRole,
                    base::milliseconds maxDeadline) const;
  base::TimePoint deadlineOf(const Context& context, base::milliseconds maxDeadline) const;
  // Sends changes of the named object, or of all objects if the name is empty, until the deadline,
  // the end of the stream or stopWatches().
  void sendChanges(const Context& context,
                   const std::string& objectName,
                   base::TimePoint deadline,
                   grpc::ServerWriter<v1::WatchEvent>& writer);

  const OperatorServiceSettings& settings_;
  OperatorBackend& backend_;
  TokenAuthenticator authenticator_;
  CallLimiter callLimiter_;
  CallLimiter watchLimiter_;
  std::atomic<bool> isStopping_ = false;
};

} // namespace sycamore::operators
