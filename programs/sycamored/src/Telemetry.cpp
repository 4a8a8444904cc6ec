#include "Telemetry.h"

namespace sycamore::daemon {

namespace {

// Half of the time until the keys of a failed server are served again, so that no such failure is
// missed.
constexpr base::milliseconds kTickInterval{ 250 };

telemetry::RequestSample sampleOf(const router::RequestRecord& record)
{
  return { record.service, record.outcome,  record.reason,
           record.latency, record.attempts, record.answerTruncated };
}

} // namespace

Telemetry::Telemetry(base::VmId self,
                     const router::RoutingPublisher& routing,
                     transport::HttpClientPool& clients)
  : self_(self)
  , routing_(routing)
  , requestMetrics_(registry_)
  , routeObserver_(serviceLevels_)
  , collector_(std::move(self), serviceLevels_, *peerAddresses_, clients)
{
}

void Telemetry::start(control::ControlThread& thread, control::Controller& controller)
{
  periodicTask_ = std::make_unique<PeriodicTask>(
    kTickInterval, [this, &thread, &controller] { tick(thread, controller); });
}

void Telemetry::tick(control::ControlThread& thread, control::Controller& controller)
{
  observeRoutes(base::SteadyClock().now());
  thread.post([peerAddresses = peerAddresses_, &controller] {
    PeerAddressTable::Addresses addresses;
    for (const membership::Peer& peer : controller.members().peers()) {
      addresses[peer.id] = peer.peerAddress;
    }
    peerAddresses->set(std::move(addresses));
  });
}

void Telemetry::observeRequest(const router::RequestRecord& record)
{
  const telemetry::RequestSample sample = sampleOf(record);
  requestMetrics_.record(sample);
  serviceLevels_.recordAnswer(sample, base::SteadyClock().now());
}

void Telemetry::observeKey(const base::ServiceId& service, const base::Key& key)
{
  const auto table = routing_.current();
  if (const auto target = table->routeKey(service, key)) {
    serviceLevels_.recordLoad(service, target->server->id, base::SteadyClock().now());
  }
}

bool Telemetry::handlePeer(transport::ServerRequest& request, transport::ServerResponse& response)
{
  if (request.path() != "/peer/telemetry" || request.method() != "POST") {
    return false;
  }
  const auto body = request.readBody(1024);
  if (!body) {
    response.closeConnection();
    response.send(413, "{\"message\":\"the body is too long\"}\n", "application/json");
    return true;
  }
  const auto snapshot = serviceLevels_.snapshot(self_, base::SteadyClock().now());
  response.send(200, snapshot.toText(), "application/json");
  return true;
}

} // namespace sycamore::daemon
