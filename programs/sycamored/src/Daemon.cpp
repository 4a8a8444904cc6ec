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
// The balancer needs this long to see that /readyz fails.
constexpr base::milliseconds kBalancerDelay{ 500 };
constexpr base::milliseconds kPollInterval{ 10 };
constexpr base::milliseconds kStopTime{ 200 };

ownership::HolderId makeSelf(const base::VmId& vm)
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
    , io_(controlClients_, thread_, kControlIoThreads)
    , callers_(trafficLimits(settings_),
               [this](auto& request, auto& response) { handleCaller(request, response); })
    , peers_(trafficLimits(settings_),
             [this](auto& request, auto& response) { handlePeer(request, response); })
    , status_({}, [this](auto& request, auto& response) { statusApi_->handle(request, response); })
  {
    callerBound_ = callers_.bind(HostPort::parse(settings_.callerAddress));
    peerBound_ = peers_.bind(HostPort::parse(settings_.peerAddress));
    statusBound_ = status_.bind(HostPort::parse(settings_.statusAddress));
    wire();
    callers_.start();
    peers_.start();
    status_.start();
    thread_.startTicking(kTickInterval, [this] { controller_->tick(); });
    startOperators();
    telemetry_.start(thread_, *controller_);
  }

  ~Impl()
  {
    const TimePoint deadline = SteadyClock().now() + kStopTime;
    if (operators_) {
      operators_->stop(base::milliseconds(kStopTime));
    }
    callers_.stop(deadline);
    peers_.stop(deadline);
    status_.stop(deadline);
    telemetry_.stop();
    thread_.stop();
    io_.stop();
  }

  bool shutDown()
  {
    const TimePoint deadline = SteadyClock().now() + settings_.drainTime;
    logInfo("leaving: no new callers");
    statusApi_->setDraining();
    callers_.beginDrain();
    thread_.post([this] { controller_->beginLeaving(); });
    const bool left = waitUntilLeft(deadline);
    const bool ended = callers_.stop(deadline);
    peers_.beginDrain();
    const bool forwardedEnded = peers_.stop(std::max(deadline, SteadyClock().now() + kStopTime));
    const bool whole = left && ended && forwardedEnded;
    logInfo(whole ? "left: duties handed over, no request cut off"
                  : "left: the drain time was over before all duties and requests ended");
    return whole;
  }

  std::string addresses() const
  {
    return "listening callers=" + callerBound_.toString() + " peers=" + peerBound_.toString() +
           " status=" + statusBound_.toString() + " operators=" + operatorBound_.toString();
  }

private:
  void wire()
  {
    control::ControllerSettings control;
    control.self = makeSelf(settings_.vm);
    control.domain = settings_.domain;
    control.peerAddress = peerBound_.toString();
    control.platformAddress = settings_.platformAddress;
    control.seedPeers = settings_.seedPeers;
    controller_ = std::make_unique<control::Controller>(
      control, io_, dispatchers_, quarantine_, routing_, logInfo);
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
                               countKey(service, key);
                             } },
      limits);
    peerApi_ = std::make_unique<PeerApi>(thread_, *controller_, *router_);
    statusApi_ = std::make_unique<StatusApi>(
      thread_, *controller_, dispatchers_, telemetry_, faults_, settings_.debugFaults);
  }

  void handlePeer(transport::ServerRequest& request, transport::ServerResponse& response)
  {
    if (!telemetry_.handlePeer(request, response)) {
      peerApi_->handle(request, response);
    }
  }

  void startOperators()
  {
    gateway_ = std::make_unique<OperatorGateway>(thread_,
                                                 *controller_,
                                                 quarantine_,
                                                 trafficClients_,
                                                 settings_.platformAddress,
                                                 SYCAMORE_VERSION);
    gateway_->setBurnReporter([this](const auto& request, TimePoint deadline) {
      return burnReply(telemetry_.collect(deadline), request);
    });
    operators::OperatorServiceSettings settings;
    settings.address = settings_.operatorAddress;
    settings.tokens = settings_.operatorTokens;
    settings.allowAnonymousCalls = settings_.allowOperatorsWithoutToken;
    operators_ = std::make_unique<operators::OperatorService>(settings, *gateway_);
    operatorBound_ = HostPort::parse(settings_.operatorAddress);
    operatorBound_.port = operators_->port();
  }

  void handleCaller(transport::ServerRequest& request, transport::ServerResponse& response)
  {
    if (request.path() == "/readyz" || request.path() == "/healthz") {
      // The platform's balancer asks on the port that it sends callers to.
      statusApi_->handle(request, response);
      return;
    }
    router_->handleCaller(request, response);
  }

  void countKey(const base::ServiceId& service, const base::Key& key)
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
      left = thread_.ask([this] { return controller_->hasLeft(); }, deadline).value_or(false);
      std::this_thread::sleep_for(kPollInterval);
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
  control::ControlThread thread_;
  control::ControlIo io_;
  std::unique_ptr<control::Controller> controller_;
  std::unique_ptr<router::RequestRouter> router_;
  std::unique_ptr<PeerApi> peerApi_;
  std::unique_ptr<StatusApi> statusApi_;
  std::unique_ptr<OperatorGateway> gateway_;
  std::unique_ptr<operators::OperatorService> operators_;
  HttpServer callers_;
  HttpServer peers_;
  HttpServer status_;
  HostPort callerBound_;
  HostPort peerBound_;
  HostPort statusBound_;
  HostPort operatorBound_;
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
