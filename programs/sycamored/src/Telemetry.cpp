#include "Telemetry.h"

namespace sycamore::daemon {

namespace {

// Half of the time in which a key is served again after the loss of its server, so that no such
// loss goes unnoticed.
constexpr base::milliseconds kTick{ 250 };

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
  , requests_(registry_)
  , routes_(book_)
  , collector_(std::move(self), book_, *peers_, clients)
{
}

void Telemetry::start(control::ControlThread& thread, control::Controller& controller)
{
  ticker_ = std::make_unique<TelemetryTicker>(
    kTick, [this, &thread, &controller] { tick(thread, controller); });
}

void Telemetry::tick(control::ControlThread& thread, control::Controller& controller)
{
  observeRoutes(base::SteadyClock().now());
  thread.post([peers = peers_, &controller] {
    TelemetryPeers::Addresses addresses;
    for (const membership::Peer& peer : controller.members().peers()) {
      addresses[peer.id] = peer.peerAddress;
    }
    peers->set(std::move(addresses));
  });
}

void Telemetry::observeRequest(const router::RequestRecord& record)
{
  const telemetry::RequestSample sample = sampleOf(record);
  requests_.record(sample);
  book_.recordAnswer(sample, base::SteadyClock().now());
}

void Telemetry::observeKey(const base::ServiceId& service, const base::Key& key)
{
  const auto table = routing_.current();
  if (const auto target = table->routeKey(service, key)) {
    book_.recordLoad(service, target->server->id, base::SteadyClock().now());
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
  const auto form = book_.snapshot(self_, base::SteadyClock().now());
  response.send(200, form.toText(), "application/json");
  return true;
}

} // namespace sycamore::daemon
