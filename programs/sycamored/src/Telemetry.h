#pragma once

#include "PeerAddressTable.h"
#include "PeriodicTask.h"
#include "RouteObserver.h"
#include "TelemetryCollector.h"

#include <control/ControlThread.h>
#include <control/Controller.h>
#include <router/RequestRecord.h>
#include <router/RoutingPublisher.h>
#include <telemetry/MetricRegistry.h>
#include <telemetry/RequestMetrics.h>
#include <telemetry/ServiceLevelRegistry.h>
#include <transport/HttpServer.h>

#include <memory>
#include <string>

namespace sycamore::daemon {

// Metrics and service-level counts of this VM. Created before the router, which reports requests
// and keys to it; started once the controller exists, and destroyed before both. Thread-safe.
class Telemetry
{
public:
  Telemetry(base::VmId self,
            const router::RoutingPublisher& routing,
            transport::HttpClientPool& clients);

  // Starts a thread that tracks the routing table and the addresses of the known VMs.
  void start(control::ControlThread& thread, control::Controller& controller);
  // Stops the thread that start() created. Must be called before the control thread stops.
  void stop() { periodicTask_.reset(); }

  // Examines the current routing table once; the thread of start() repeats this. Must not be called
  // from two threads at once.
  void observeRoutes(base::TimePoint now) { routeObserver_.observe(*routing_.current(), now); }

  // Callbacks for RouterContext::observer and keyObserver.
  void observeRequest(const router::RequestRecord& record);
  void observeKey(const base::ServiceId& service, const base::Key& key);

  // Answers POST /peer/telemetry on the calling thread. Returns false for any other call.
  bool handlePeer(transport::ServerRequest& request, transport::ServerResponse& response);

  // Returns the metrics of requests in Prometheus text format, for /metrics.
  std::string metricsText() const { return registry_.prometheusText(); }

  telemetry::BurnReport collect(base::TimePoint deadline) const
  {
    return collector_.collect(deadline);
  }

  telemetry::MetricRegistry& registry() { return registry_; }

private:
  void tick(control::ControlThread& thread, control::Controller& controller);

  const base::VmId self_;
  const router::RoutingPublisher& routing_;
  telemetry::MetricRegistry registry_;
  telemetry::RequestMetrics requestMetrics_;
  telemetry::ServiceLevelRegistry serviceLevels_;
  RouteObserver routeObserver_;
  // Shared with tasks that the control thread may run after this object is destroyed.
  std::shared_ptr<PeerAddressTable> peerAddresses_ = std::make_shared<PeerAddressTable>();
  TelemetryCollector collector_;
  std::unique_ptr<PeriodicTask> periodicTask_;
};

} // namespace sycamore::daemon
