#include "Daemon.h"

#include "BurnReply.h"
#include "Logging.h"
#include "OperatorGateway.h"
#include "PeerApi.h"
#include "StatusApi.h"
#include "Telemetry.h"

#include <control/ControlIo.h>
#include <control/ControlThread.h>
#include <control/Controller.h>
#include <router/DispatcherTable.h>
#include <router/QuarantineRegistry.h>
#include <router/RequestRouter.h>
#include <router/RoutingPublisher.h>
#include <transport/FaultSwitch.h>
#include <transport/HttpClientPool.h>
#include <transport/HttpServer.h>

#include <operators/OperatorService.h>

#include <random>
#include <thread>

namespace sycamore::daemon {

using base::SteadyClock;
using base::TimePoint;
using transport::HostPort;
using transport::HttpServer;

namespace {

constexpr base::milliseconds kTickInterval{ 20 };
constexpr std::size_t kControlIoThreads = 64;
// Time that the platform's load balancer takes to notice that /readyz fails.
constexpr base::milliseconds kBalancerDelay{ 500 };
constexpr base::milliseconds kLeavePollInterval{ 10 };
constexpr base::milliseconds kStopTimeout{ 200 };

ownership::HolderId makeHolderId(const base::VmId& vm)
{
  return { vm, base::Incarnation(std::random_device{}() | 1U) };
}

transport::ServerLimits trafficLimits(const DaemonSettings& settings)
{
  transport::ServerLimits limits;
  limits.maxConcurrent = settings.maxRequests;
  limits.maxConnections = settings.maxConnections;
  return limits;
}

} // namespace

class Daemon::Impl
{
public:
  explicit Impl(DaemonSettings settings)
    : settings_(std::move(settings))
    , trafficClients_({}, faults_)
    , controlClients_({}, faults_)
    , controlIo_(controlClients_, controlThread_, kControlIoThreads)
    , callerServer_(trafficLimits(settings_),
                    [this](auto& request, auto& response) { handleCaller(request, response); })
    , peerServer_(trafficLimits(settings_),
                  [this](auto& request, auto& response) { handlePeer(request, response); })
    , statusServer_({}, [this](auto& request, auto& response) {
      statusApi_->handle(request, response);
    })
  {
    boundCallerAddress_ = callerServer_.bind(HostPort::parse(settings_.callerAddress));
    boundPeerAddress_ = peerServer_.bind(HostPort::parse(settings_.peerAddress));
    boundStatusAddress_ = statusServer_.bind(HostPort::parse(settings_.statusAddress));
    createComponents();
    callerServer_.start();
    peerServer_.start();
    statusServer_.start();
    controlThread_.startTicking(kTickInterval, [this] { controller_->tick(); });
    startOperators();
    telemetry_.start(controlThread_, *controller_);
  }

  ~Impl()
  {
    const TimePoint deadline = SteadyClock().now() + kStopTimeout;
    if (operatorService_) {
      operatorService_->stop(base::milliseconds(kStopTimeout));
    }
    callerServer_.stop(deadline);
    peerServer_.stop(deadline);
    statusServer_.stop(deadline);
    telemetry_.stop();
    controlThread_.stop();
    controlIo_.stop();
  }

  bool shutDown()
  {
    const TimePoint deadline = SteadyClock().now() + settings_.drainTime;
    logInfo("shutting down: no new callers are accepted");
    statusApi_->setDraining();
    callerServer_.beginDrain();
    controlThread_.post([this] { controller_->beginLeaving(); });
    const bool leasesHandedOver = waitUntilLeft(deadline);
    const bool callersFinished = callerServer_.stop(deadline);
    peerServer_.beginDrain();
    const bool forwardedFinished =
      peerServer_.stop(std::max(deadline, SteadyClock().now() + kStopTimeout));
    const bool completedInTime = leasesHandedOver && callersFinished && forwardedFinished;
    logInfo(completedInTime
              ? "shutdown complete: all server leases handed over, all requests finished"
              : "shutdown incomplete: the drain time ended before all server leases were "
                "handed over and all requests finished");
    return completedInTime;
  }

  std::string addresses() const
  {
    return "listening callers=" + boundCallerAddress_.toString() +
           " peers=" + boundPeerAddress_.toString() + " status=" + boundStatusAddress_.toString() +
           " operators=" + boundOperatorAddress_.toString();
  }

private:
  void createComponents()
  {
    control::ControllerSettings controllerSettings;
    controllerSettings.self = makeHolderId(settings_.vm);
    controllerSettings.domain = settings_.domain;
    controllerSettings.peerAddress = boundPeerAddress_.toString();
    controllerSettings.platformAddress = settings_.platformAddress;
    controllerSettings.seedPeers = settings_.seedPeers;
    controller_ = std::make_unique<control::Controller>(
      controllerSettings, controlIo_, dispatchers_, quarantine_, routing_, logInfo);
    router::RequestLimits limits;
    limits.heldBodyBytes = settings_.heldBodyBytes;
    router_ = std::make_unique<router::RequestRouter>(
      router::RouterContext{ settings_.vm,
                             routing_,
                             dispatchers_,
                             quarantine_,
                             trafficClients_,
                             [this](const auto& record) { telemetry_.observeRequest(record); },
                             [this](const auto& service, const auto& key) {
                               telemetry_.observeKey(service, key);
                               recordKeyLoad(service, key);
                             } },
      limits);
    peerApi_ = std::make_unique<PeerApi>(controlThread_, *controller_, *router_);
    statusApi_ = std::make_unique<StatusApi>(
      controlThread_, *controller_, dispatchers_, telemetry_, faults_, settings_.debugFaults);
  }

  void handlePeer(transport::ServerRequest& request, transport::ServerResponse& response)
  {
    if (!telemetry_.handlePeer(request, response)) {
      peerApi_->handle(request, response);
    }
  }

  void startOperators()
  {
    gateway_ = std::make_unique<OperatorGateway>(controlThread_,
                                                 *controller_,
                                                 quarantine_,
                                                 trafficClients_,
                                                 settings_.platformAddress,
                                                 SYCAMORE_VERSION);
    gateway_->setBurnReporter([this](const auto& request, TimePoint deadline) {
      return toBurnReply(telemetry_.collect(deadline), request);
    });
    operators::OperatorServiceSettings settings;
    settings.address = settings_.operatorAddress;
    settings.tokens = settings_.operatorTokens;
    settings.allowAnonymousCalls = settings_.allowOperatorsWithoutToken;
    operatorService_ = std::make_unique<operators::OperatorService>(settings, *gateway_);
    boundOperatorAddress_ = HostPort::parse(settings_.operatorAddress);
    boundOperatorAddress_.port = operatorService_->port();
  }

  void handleCaller(transport::ServerRequest& request, transport::ServerResponse& response)
  {
    if (request.path() == "/readyz" || request.path() == "/healthz") {
      // The platform's load balancer probes the port that it sends callers to.
      statusApi_->handle(request, response);
      return;
    }
    router_->handleCaller(request, response);
  }

  void recordKeyLoad(const base::ServiceId& service, const base::Key& key)
  {
    const auto table = routing_.current();
    const auto* route = table->findService(service);
    if (route != nullptr && route->map && route->map->shardCount() > 0) {
      controller_->loads().record(service, key, route->map->shardOf(key), SteadyClock().now());
    }
  }

  bool waitUntilLeft(TimePoint deadline)
  {
    const TimePoint earliest = SteadyClock().now() + kBalancerDelay;
    bool left = false;
    while (SteadyClock().now() < deadline && !(left && SteadyClock().now() >= earliest)) {
      left =
        controlThread_.ask([this] { return controller_->hasLeft(); }, deadline).value_or(false);
      std::this_thread::sleep_for(kLeavePollInterval);
    }
    return left;
  }

  const DaemonSettings settings_;
  transport::FaultSwitch faults_;
  transport::HttpClientPool trafficClients_;
  transport::HttpClientPool controlClients_;
  router::RoutingPublisher routing_;
  router::DispatcherTable dispatchers_;
  router::QuarantineRegistry quarantine_;
  Telemetry telemetry_{ settings_.vm, routing_, controlClients_ };
  control::ControlThread controlThread_;
  control::ControlIo controlIo_;
  std::unique_ptr<control::Controller> controller_;
  std::unique_ptr<router::RequestRouter> router_;
  std::unique_ptr<PeerApi> peerApi_;
  std::unique_ptr<StatusApi> statusApi_;
  std::unique_ptr<OperatorGateway> gateway_;
  std::unique_ptr<operators::OperatorService> operatorService_;
  HttpServer callerServer_;
  HttpServer peerServer_;
  HttpServer statusServer_;
  HostPort boundCallerAddress_;
  HostPort boundPeerAddress_;
  HostPort boundStatusAddress_;
  HostPort boundOperatorAddress_;
};

Daemon::Daemon(DaemonSettings settings)
  : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

std::string Daemon::addresses() const
{
  return impl_->addresses();
}

bool Daemon::shutDown()
{
  return impl_->shutDown();
}

} // namespace sycamore::daemon
