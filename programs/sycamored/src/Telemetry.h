#pragma once

#include "TelemetryCollector.h"
#include "TelemetryPeers.h"
#include "TelemetryRoutes.h"
#include "TelemetryTicker.h"

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

// Metrics and burn counts of this VM. Created before the router, whose observers it is; started
// once the controller exists, and destroyed before both. Safe from all threads.
class Telemetry
{
public:
  Telemetry(base::VmId self,
            const router::RoutingPublisher& routing,
            transport::HttpClientPool& clients);

  // Begins to follow the routing table and the known VMs.
  void start(control::ControlThread& thread, control::Controller& controller);
  // Ends the thread that start() began. Called before the control thread stops.
  void stop() { ticker_.reset(); }

  // One look at the routing table; start() repeats it. Not from two threads at once.
  void observeRoutes(base::TimePoint now) { routes_.observe(*routing_.current(), now); }

  // For RouterContext::observer and keyObserver.
  void observeRequest(const router::RequestRecord& record);
  void observeKey(const base::ServiceId& service, const base::Key& key);

  // Answers POST /peer/telemetry on the calling thread. Returns false for any other call.
  bool handlePeer(transport::ServerRequest& request, transport::ServerResponse& response);

  // The metrics of requests, for /metrics.
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
  telemetry::RequestMetrics requests_;
  telemetry::ServiceLevelRegistry book_;
  TelemetryRoutes routes_;
  // Shared with tasks of the control thread that may run later.
  std::shared_ptr<TelemetryPeers> peers_ = std::make_shared<TelemetryPeers>();
  TelemetryCollector collector_;
  std::unique_ptr<TelemetryTicker> ticker_;
};

} // namespace sycamore::daemon
