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

// How long a watch waits for a change before it looks whether its caller is still there.
constexpr base::milliseconds kWatchPoll{ 200 };

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
  , tokens_(settings.tokens, settings.allowAnonymousCalls)
  , calls_(settings.maxCalls)
  , watches_(settings.maxWatches)
{
}

grpc::Status OperatorRpc::run(const Context& context,
                              OperatorRole needed,
                              CallGate& gate,
                              base::milliseconds maxDeadline,
                              const std::function<void(const CallContext&)>& action)
{
  try {
    const CallContext admitted = admit(context, needed, maxDeadline);
    const CallGate::Place place(gate);
    if (!place) {
      throw OperatorError(OperatorErrorCode::ResourceExhausted,
                          "too many calls at once; try later");
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
                                  OperatorRole needed,
                                  const google::protobuf::Message& request,
                                  google::protobuf::Message& reply,
                                  Reply (OperatorBackend::*method)(const Request&,
                                                                   const CallContext&))
{
  return run(context, needed, calls_, settings_.maxDeadline, [&](const CallContext& admitted) {
    const auto asked = jsonOf(request, FieldNames::Camel).get<Request>();
    const nlohmann::json answer = (backend_.*method)(asked, admitted);
    readJson(answer, FieldNames::Camel, reply);
  });
}

template<typename Message, typename Request>
grpc::Status OperatorRpc::change(const Context& context,
                                 const Message& request,
                                 v1::ChangeReply& reply,
                                 ChangeReply (OperatorBackend::*method)(const Request&,
                                                                        const CallContext&))
{
  const OperatorRole needed = isDryRun(request) ? OperatorRole::ReadOnly : OperatorRole::Change;
  return forward(context, needed, request, reply, method);
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
                               OperatorRole needed,
                               base::milliseconds maxDeadline) const
{
  const auto caller = tokens_.identify(authorizationOf(context));
  if (!caller) {
    throw OperatorError(OperatorErrorCode::Unauthenticated, "the call needs a known token");
  }
  if (needed == OperatorRole::Change && caller->role != OperatorRole::Change) {
    throw OperatorError(OperatorErrorCode::PermissionDenied,
                        "the token of \"" + caller->name + "\" is read-only");
  }
  const base::TimePoint deadline = deadlineOf(context, maxDeadline);
  if (deadline <= base::SteadyClock().now()) {
    throw OperatorError(OperatorErrorCode::DeadlineExceeded, "the deadline has passed");
  }
  return { deadline, caller->name };
}

base::TimePoint OperatorRpc::deadlineOf(const Context& context,
                                        base::milliseconds maxDeadline) const
{
  using std::chrono::system_clock;
  const base::TimePoint now = base::SteadyClock().now();
  const auto named = context.deadline();
  if (named == system_clock::time_point::max()) {
    return now + settings_.defaultDeadline;
  }
  const auto remaining =
    std::chrono::duration_cast<base::milliseconds>(named - system_clock::now());
  return now + std::min(remaining, maxDeadline);
}

void OperatorRpc::sendChanges(const Context& context,
                              const std::string& object,
                              base::TimePoint deadline,
                              grpc::ServerWriter<v1::WatchEvent>& writer)
{
  const base::SteadyClock clock;
  std::uint64_t cursor = 0;
  bool sent = true;
  while (sent && !stopping_ && !context.IsCancelled() && clock.now() < deadline) {
    const auto batch =
      backend_.changesAfter(cursor, std::min<base::TimePoint>(deadline, clock.now() + kWatchPoll));
    cursor = batch.cursor;
    for (const StoredObject& changed : batch.objects) {
      if (sent && (object.empty() || object == changed.name)) {
        v1::WatchEvent event;
        readJson(nlohmann::json(changed), FieldNames::Camel, *event.mutable_object());
        sent = writer.Write(event);
      }
    }
  }
}

grpc::Status OperatorRpc::WatchServices(Context* context,
                                        const v1::WatchRequest* request,
                                        grpc::ServerWriter<v1::WatchEvent>* writer)
{
  const std::string object = request->service().empty() ? "" : "service." + request->service();
  return run(*context,
             OperatorRole::ReadOnly,
             watches_,
             settings_.maxWatch,
             [&](const CallContext& admitted) {
               sendChanges(*context, object, admitted.deadline, *writer);
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
