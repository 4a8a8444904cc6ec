#include "OperatorRpc.h"

#include <operators/OperatorError.h>
#include <operators/OperatorService.h>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <chrono>

namespace sycamore::operators {

namespace {

std::shared_ptr<grpc::ServerCredentials> credentialsOf(const OperatorTls& tls)
{
  if (tls.certificate.empty() && tls.privateKey.empty() && tls.clientCaCertificate.empty()) {
    return grpc::InsecureServerCredentials();
  }
  if (tls.certificate.empty() || tls.privateKey.empty()) {
    throw OperatorError(OperatorErrorCode::InvalidArgument,
                        "TLS needs both a certificate and a private key");
  }
  grpc::SslServerCredentialsOptions options(
    tls.clientCaCertificate.empty() ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                                    : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = tls.clientCaCertificate;
  options.pem_key_cert_pairs.push_back({ tls.privateKey, tls.certificate });
  return grpc::SslServerCredentials(options);
}

// Keeps the number of threads low: operators call rarely, and an entry VM has few resources.
void limitThreads(grpc::ServerBuilder& builder, const OperatorServiceSettings& settings)
{
  using Option = grpc::ServerBuilder::SyncServerOption;
  builder.SetSyncServerOption(Option::NUM_CQS, 1);
  builder.SetSyncServerOption(Option::MIN_POLLERS, 1);
  builder.SetSyncServerOption(Option::MAX_POLLERS, 2);
  grpc::ResourceQuota quota("operators");
  quota.SetMaxThreads(static_cast<int>(settings.maxCalls + settings.maxWatches + 8));
  builder.SetResourceQuota(quota);
}

void limitSizes(grpc::ServerBuilder& builder, const OperatorServiceSettings& settings)
{
  builder.SetMaxReceiveMessageSize(static_cast<int>(settings.maxRequestBytes));
  builder.SetMaxSendMessageSize(static_cast<int>(settings.maxReplyBytes));
  builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, 16);
}

} // namespace

class OperatorService::Impl
{
public:
  Impl(OperatorServiceSettings settings, OperatorBackend& backend)
    : settings_(std::move(settings))
    , rpc_(settings_, backend)
  {
    grpc::ServerBuilder builder;
    // With SO_REUSEPORT a second process could bind the same port and receive part of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(settings_.address, credentialsOf(settings_.tls), &port_);
    builder.RegisterService(&rpc_);
    limitThreads(builder, settings_);
    limitSizes(builder, settings_);
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) {
      throw OperatorError(OperatorErrorCode::Unavailable, "can't bind " + settings_.address);
    }
  }

  std::uint16_t port() const { return static_cast<std::uint16_t>(port_); }

  void stop(base::milliseconds grace)
  {
    rpc_.stopWatches();
    server_->Shutdown(std::chrono::system_clock::now() + grace);
  }

private:
  OperatorServiceSettings settings_;
  OperatorRpc rpc_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

OperatorService::OperatorService(OperatorServiceSettings settings, OperatorBackend& backend)
  : impl_(std::make_unique<Impl>(std::move(settings), backend))
{
}

OperatorService::~OperatorService()
{
  stop(base::milliseconds(1000));
}

std::uint16_t OperatorService::port() const
{
  return impl_->port();
}

void OperatorService::stop(base::milliseconds grace)
{
  impl_->stop(grace);
}

} // namespace sycamore::operators
