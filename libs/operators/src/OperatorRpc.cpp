#include "OperatorRpc.h"

#include "MessageJson.h"
#include "ProtoJson.h"
#include "StatusCodes.h"

#include <operators/OperatorError.h>

#include <algorithm>
#include <chrono>
#include <string_view>

namespace sycamore::operators {

namespace {

// Time for which a watch waits for changes before it checks again whether its caller has cancelled.
constexpr base::milliseconds kWatchPollInterval{ 200 };

std::string_view authorizationOf(const grpc::ServerContext& context)
{
  const auto& metadata = context.client_metadata();
  const auto found = metadata.find("authorization");
  return found == metadata.end() ? std::string_view()
                                 : std::string_view(found->second.data(), found->second.size());
}

template<typename Message>
bool isDryRun(const Message& request)
{
  if constexpr (requires { request.dry_run(); }) {
    return request.dry_run();
  } else {
    return false;
  }
}

} // namespace

OperatorRpc::OperatorRpc(const OperatorServiceSettings& settings, OperatorBackend& backend)
  : settings_(settings)
  , backend_(backend)
  , authenticator_(settings.tokens, settings.allowAnonymousCalls)
  , callLimiter_(settings.maxCalls)
  , watchLimiter_(settings.maxWatches)
{
}

grpc::Status OperatorRpc::run(const Context& context,
                              OperatorRole requiredRole,
                              CallLimiter& limiter,
                              base::milliseconds maxDeadline,
                              const std::function<void(const CallContext&)>& action)
{
  try {
    const CallContext admitted = admit(context, requiredRole, maxDeadline);
    const CallLimiter::Slot slot(limiter);
    if (!slot) {
      throw OperatorError(OperatorErrorCode::ResourceExhausted,
                          "too many calls are running; try again later");
    }
    action(admitted);
    return grpc::Status::OK;
  } catch (const OperatorError& error) {
    return { statusCodeOf(error.code()), error.what() };
  } catch (const std::exception& error) {
    return { grpc::StatusCode::INTERNAL, error.what() };
  }
}

template<typename Request, typename Reply>
grpc::Status OperatorRpc::forward(const Context& context,
                                  OperatorRole requiredRole,
                                  const google::protobuf::Message& request,
                                  google::protobuf::Message& reply,
                                  Reply (OperatorBackend::*method)(const Request&,
                                                                   const CallContext&))
{
  return run(
    context, requiredRole, callLimiter_, settings_.maxDeadline, [&](const CallContext& admitted) {
      const auto backendRequest = jsonOf(request, FieldNames::CamelCase).get<Request>();
      const nlohmann::json backendReply = (backend_.*method)(backendRequest, admitted);
      setFromJson(backendReply, FieldNames::CamelCase, reply);
    });
}

template<typename Message, typename Request>
grpc::Status OperatorRpc::change(const Context& context,
                                 const Message& request,
                                 v1::ChangeReply& reply,
                                 ChangeReply (OperatorBackend::*method)(const Request&,
                                                                        const CallContext&))
{
  const OperatorRole requiredRole =
    isDryRun(request) ? OperatorRole::ReadOnly : OperatorRole::Change;
  return forward(context, requiredRole, request, reply, method);
}

template<typename Request, typename Reply>
grpc::Status OperatorRpc::read(const Context& context,
                               const google::protobuf::Message& request,
                               google::protobuf::Message& reply,
                               Reply (OperatorBackend::*method)(const Request&, const CallContext&))
{
  return forward(context, OperatorRole::ReadOnly, request, reply, method);
}

CallContext OperatorRpc::admit(const Context& context,
                               OperatorRole requiredRole,
                               base::milliseconds maxDeadline) const
{
  const auto caller = authenticator_.authenticate(authorizationOf(context));
  if (!caller) {
    throw OperatorError(OperatorErrorCode::Unauthenticated,
                        "the token of the call is missing or unknown to this server");
  }
  if (requiredRole == OperatorRole::Change && caller->role != OperatorRole::Change) {
    throw OperatorError(OperatorErrorCode::PermissionDenied,
                        "the token of \"" + caller->name + "\" is read-only");
  }
  const base::TimePoint deadline = deadlineOf(context, maxDeadline);
  if (deadline <= base::SteadyClock().now()) {
    throw OperatorError(OperatorErrorCode::DeadlineExceeded, "the call's deadline has passed");
  }
  return { deadline, caller->name };
}

base::TimePoint OperatorRpc::deadlineOf(const Context& context,
                                        base::milliseconds maxDeadline) const
{
  using std::chrono::system_clock;
  const base::TimePoint now = base::SteadyClock().now();
  const auto callerDeadline = context.deadline();
  if (callerDeadline == system_clock::time_point::max()) {
    return now + settings_.defaultDeadline;
  }
  const auto remaining =
    std::chrono::duration_cast<base::milliseconds>(callerDeadline - system_clock::now());
  return now + std::min(remaining, maxDeadline);
}

void OperatorRpc::sendChanges(const Context& context,
                              const std::string& objectName,
                              base::TimePoint deadline,
                              grpc::ServerWriter<v1::WatchEvent>& writer)
{
  const base::SteadyClock clock;
  std::uint64_t cursor = 0;
  bool isStreamOpen = true;
  while (isStreamOpen && !isStopping_ && !context.IsCancelled() && clock.now() < deadline) {
    const auto batch = backend_.changesAfter(
      cursor, std::min<base::TimePoint>(deadline, clock.now() + kWatchPollInterval));
    cursor = batch.cursor;
    for (const StoredObject& changed : batch.objects) {
      if (isStreamOpen && (objectName.empty() || objectName == changed.name)) {
        v1::WatchEvent event;
        setFromJson(nlohmann::json(changed), FieldNames::CamelCase, *event.mutable_object());
        isStreamOpen = writer.Write(event);
      }
    }
  }
}

grpc::Status OperatorRpc::WatchServices(Context* context,
                                        const v1::WatchRequest* request,
                                        grpc::ServerWriter<v1::WatchEvent>* writer)
{
  const std::string objectName = request->service().empty() ? "" : "service." + request->service();
  return run(*context,
             OperatorRole::ReadOnly,
             watchLimiter_,
             settings_.maxWatchDuration,
             [&](const CallContext& admitted) {
               sendChanges(*context, objectName, admitted.deadline, *writer);
             });
}

grpc::Status OperatorRpc::CreateService(Context* context,
                                        const v1::ServiceChange* request,
                                        v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::createService);
}

grpc::Status OperatorRpc::UpdateService(Context* context,
                                        const v1::ServiceChange* request,
                                        v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::updateService);
}

grpc::Status OperatorRpc::DeleteService(Context* context,
                                        const v1::ServiceDeletion* request,
                                        v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::deleteService);
}

grpc::Status OperatorRpc::GetService(Context* context,
                                     const v1::ServiceQuery* request,
                                     v1::StoredObject* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::getService);
}

grpc::Status OperatorRpc::ListServices(Context* context,
                                       const v1::ListServicesRequest* request,
                                       v1::ServiceList* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::listServices);
}

grpc::Status OperatorRpc::ListDomains(Context* context,
                                      const v1::ListDomainsRequest* request,
                                      v1::DomainList* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::listDomains);
}

grpc::Status OperatorRpc::TakeDomainOut(Context* context,
                                        const v1::DomainChange* request,
                                        v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::takeDomainOut);
}

grpc::Status OperatorRpc::BringDomainBack(Context* context,
                                          const v1::DomainChange* request,
                                          v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::bringDomainBack);
}

grpc::Status OperatorRpc::ShowPlacement(Context* context,
                                        const v1::ServiceQuery* request,
                                        v1::Placement* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::showPlacement);
}

grpc::Status OperatorRpc::PlanMove(Context* context,
                                   const v1::MovePlan* request,
                                   v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::planMove);
}

grpc::Status OperatorRpc::DrainServer(Context* context,
                                      const v1::ServerDrain* request,
                                      v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::drainServer);
}

grpc::Status OperatorRpc::ExplainKey(Context* context,
                                     const v1::KeyQuery* request,
                                     v1::KeyExplanation* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::explainKey);
}

grpc::Status OperatorRpc::ListOwners(Context* context,
                                     const v1::ServiceQuery* request,
                                     v1::OwnerList* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::listOwners);
}

grpc::Status OperatorRpc::ListTenancies(Context* context,
                                        const v1::ServiceQuery* request,
                                        v1::TenancyList* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::listTenancies);
}

grpc::Status OperatorRpc::ListMoves(Context* context,
                                    const v1::ServiceQuery* request,
                                    v1::MoveList* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::listMoves);
}

grpc::Status OperatorRpc::ListQuarantine(Context* context,
                                         const v1::ListQuarantineRequest* request,
                                         v1::QuarantineList* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::listQuarantine);
}

grpc::Status OperatorRpc::LiftQuarantine(Context* context,
                                         const v1::QuarantineLift* request,
                                         v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::liftQuarantine);
}

grpc::Status OperatorRpc::GetConfigStatus(Context* context,
                                          const v1::ConfigStatusRequest* request,
                                          v1::ConfigStatus* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::configStatus);
}

grpc::Status OperatorRpc::GetBurnReport(Context* context,
                                        const v1::BurnReportRequest* request,
                                        v1::BurnReport* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::burnReport);
}

grpc::Status OperatorRpc::SetLogLevel(Context* context,
                                      const v1::LogLevelChange* request,
                                      v1::ChangeReply* reply)
{
  return change(*context, *request, *reply, &OperatorBackend::setLogLevel);
}

grpc::Status OperatorRpc::GetVersion(Context* context,
                                     const v1::VersionRequest* request,
                                     v1::VersionReply* reply)
{
  return read(*context, *request, *reply, &OperatorBackend::version);
}

} // namespace sycamore::operators
