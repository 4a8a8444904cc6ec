#include "ProtoJson.h"
#include "StatusCodes.h"

#include <operators/OperatorClient.h>
#include <operators/OperatorError.h>

#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>
#include <operators.grpc.pb.h>

#include <chrono>

namespace sycamore::operators {

namespace {

using google::protobuf::Message;
using nlohmann::json;

constexpr const char* kServiceName = "sycamore.operators.v1.Operators";
// Greater than the largest reply of a server with default settings (maxReplyBytes).
constexpr int kMaxReplyBytes = 64 * 1024 * 1024;

std::shared_ptr<grpc::Channel> createChannel(const OperatorClientSettings& settings)
{
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxReplyBytes);
  // Each client gets its own connection. In a shared one, the reconnect backoff after a failure
  // that one client met would delay the others.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  if (!settings.serverName.empty()) {
    arguments.SetSslTargetNameOverride(settings.serverName);
  }
  if (settings.caCertificate.empty()) {
    return grpc::CreateCustomChannel(
      settings.address, grpc::InsecureChannelCredentials(), arguments);
  }
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = settings.caCertificate;
  options.pem_cert_chain = settings.certificate;
  options.pem_private_key = settings.privateKey;
  return grpc::CreateCustomChannel(settings.address, grpc::SslCredentials(options), arguments);
}

const google::protobuf::MethodDescriptor& findMethod(const std::string& name)
{
  const auto* service =
    google::protobuf::DescriptorPool::generated_pool()->FindServiceByName(kServiceName);
  const auto* method = service == nullptr ? nullptr : service->FindMethodByName(name);
  if (method == nullptr || method->server_streaming()) {
    throw OperatorError(OperatorErrorCode::Unimplemented,
                        "the operator API has no call \"" + name + "\"");
  }
  return *method;
}

std::unique_ptr<Message> newMessage(const google::protobuf::Descriptor& type)
{
  return std::unique_ptr<Message>(
    google::protobuf::MessageFactory::generated_factory()->GetPrototype(&type)->New());
}

grpc::ByteBuffer serialize(const Message& message)
{
  const grpc::Slice slice(message.SerializeAsString());
  return { &slice, 1 };
}

void parse(const grpc::ByteBuffer& buffer, Message& message)
{
  std::vector<grpc::Slice> slices;
  std::string bytes;
  if (!buffer.Dump(&slices).ok()) {
    throw OperatorError(OperatorErrorCode::Internal, "the server's reply can't be read");
  }
  for (const grpc::Slice& slice : slices) {
    bytes.append(reinterpret_cast<const char*>(slice.begin()), slice.size());
  }
  if (!message.ParseFromString(bytes)) {
    throw OperatorError(OperatorErrorCode::Internal, "the server's reply doesn't match the schema");
  }
}

void throwUnlessOk(const grpc::Status& status)
{
  if (!status.ok()) {
    throw OperatorError(errorCodeOf(status.error_code()), status.error_message());
  }
}

} // namespace

class OperatorClient::Impl
{
public:
  explicit Impl(OperatorClientSettings settings)
    : settings_(std::move(settings))
    , channel_(createChannel(settings_))
  {
  }

  bool connect(base::milliseconds timeout)
  {
    const auto deadline = std::chrono::system_clock::now() + timeout;
    auto state = channel_->GetState(true);
    // A failed attempt ends the wait, without gRPC's retries: the caller may have other servers.
    while (state != GRPC_CHANNEL_READY && state != GRPC_CHANNEL_TRANSIENT_FAILURE &&
           state != GRPC_CHANNEL_SHUTDOWN) {
      if (!channel_->WaitForStateChange(state, deadline)) {
        return false;
      }
      state = channel_->GetState(true);
    }
    return state == GRPC_CHANNEL_READY;
  }

  json call(const std::string& name, const json& request, base::milliseconds timeout)
  {
    const auto& method = findMethod(name);
    const auto requestMessage = newMessage(*method.input_type());
    setFromJson(request, FieldNames::Schema, *requestMessage);
    const auto replyMessage = newMessage(*method.output_type());
    parse(send(name, serialize(*requestMessage), timeout), *replyMessage);
    return jsonOf(*replyMessage, FieldNames::Schema);
  }

  void watch(const std::string& service,
             base::milliseconds timeout,
             const std::function<bool(const json&)>& onEvent)
  {
    grpc::ClientContext context;
    prepare(context, timeout);
    v1::WatchRequest request;
    request.set_service(service);
    const auto stub = v1::Operators::NewStub(channel_);
    const auto reader = stub->WatchServices(&context, request);
    v1::WatchEvent event;
    while (reader->Read(&event)) {
      if (!onEvent(jsonOf(event.object(), FieldNames::Schema))) {
        context.TryCancel();
        reader->Finish();
        return;
      }
    }
    const grpc::Status status = reader->Finish();
    // A watch normally ends at the caller's timeout.
    if (status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED) {
      throwUnlessOk(status);
    }
  }

private:
  void prepare(grpc::ClientContext& context, base::milliseconds timeout) const
  {
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    if (!settings_.token.empty()) {
      context.AddMetadata("authorization", "Bearer " + settings_.token);
    }
  }

  grpc::ByteBuffer send(const std::string& method,
                        const grpc::ByteBuffer& request,
                        base::milliseconds timeout)
  {
    grpc::ClientContext context;
    prepare(context, timeout);
    grpc::GenericStub stub(channel_);
    grpc::CompletionQueue queue;
    const auto path = std::string("/") + kServiceName + "/" + method;
    const auto reader = stub.PrepareUnaryCall(&context, path, request, &queue);
    reader->StartCall();
    grpc::ByteBuffer reply;
    grpc::Status status;
    reader->Finish(&reply, &status, this);
    void* tag = nullptr;
    bool ok = false;
    queue.Next(&tag, &ok);
    throwUnlessOk(status);
    return reply;
  }

  OperatorClientSettings settings_;
  std::shared_ptr<grpc::Channel> channel_;
};

OperatorClient::OperatorClient(OperatorClientSettings settings)
  : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

OperatorClient::~OperatorClient() = default;

bool OperatorClient::connect(base::milliseconds timeout)
{
  return impl_->connect(timeout);
}

json OperatorClient::call(const std::string& method,
                          const json& request,
                          base::milliseconds timeout)
{
  return impl_->call(method, request, timeout);
}

void OperatorClient::watchServices(const std::string& service,
                                   base::milliseconds timeout,
                                   const std::function<bool(const json&)>& onEvent)
{
  impl_->watch(service, timeout, onEvent);
}

} // namespace sycamore::operators
