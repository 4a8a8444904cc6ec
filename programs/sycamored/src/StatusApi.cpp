#include "StatusApi.h"

#include "ControlCountersText.h"

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <telemetry/PrometheusText.h>

namespace sycamore::daemon {

namespace {

constexpr base::milliseconds kControlTimeout{ 1000 };
constexpr std::size_t kMaxFaultBodyBytes = 65536;

} // namespace

StatusApi::StatusApi(control::ControlThread& thread,
                     control::Controller& controller,
                     router::DispatcherTable& dispatchers,
                     const Telemetry& telemetry,
                     transport::FaultSwitch& faults,
                     bool debugFaults)
  : thread_(thread)
  , controller_(controller)
  , dispatchers_(dispatchers)
  , telemetry_(telemetry)
  , faults_(faults)
  , debugFaults_(debugFaults)
{
}

void StatusApi::handle(transport::ServerRequest& request, transport::ServerResponse& response)
{
  if (request.path() == "/metrics") {
    response.send(200, metrics(), "text/plain; version=0.0.4");
  } else if (request.path() == "/healthz") {
    const auto alive =
      thread_.ask([] { return true; }, base::SteadyClock().now() + kControlTimeout);
    response.send(
      alive ? 200 : 503, alive ? "ok\n" : "control thread does not answer\n", "text/plain");
  } else if (request.path() == "/readyz") {
    const auto ready = thread_.ask([this] { return controller_.isReady(); },
                                   base::SteadyClock().now() + kControlTimeout);
    const bool isReady = ready.value_or(false) && !draining_;
    response.send(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n", "text/plain");
  } else if (request.path() == "/debug/faults" && debugFaults_) {
    setFaults(request, response);
  } else {
    response.send(404, "not found\n", "text/plain");
  }
}

void StatusApi::setFaults(transport::ServerRequest& request, transport::ServerResponse& response)
{
  const auto body =
    nlohmann::json::parse(request.readBody(kMaxFaultBodyBytes).value_or(""), nullptr, false);
  if (!body.is_object() || !body.contains("unreachable") || !body["unreachable"].is_array()) {
    response.send(400, "expected {\"unreachable\":[\"ip:port\",...]}\n", "text/plain");
    return;
  }
  std::set<std::string> unreachable;
  for (const auto& address : body["unreachable"]) {
    unreachable.insert(address.get<std::string>());
  }
  faults_.setUnreachable(std::move(unreachable));
  response.send(200, "{}\n", "application/json");
}

std::string StatusApi::metrics() const
{
  std::ostringstream out;
  std::string header;
  out << controlCountersText(controller_.counters()) << telemetry_.metricsText();
  telemetry::writeMetricHeader(
    header, "sycamore_requests_in_flight", "Requests at a server.", "gauge");
  out << header;
  for (const auto& dispatcher : dispatchers_.all()) {
    out << "sycamore_requests_in_flight"
        << telemetry::labelText({ "server" }, { dispatcher->server().value() }) << ' '
        << dispatcher->inFlight() << '\n';
  }
  return out.str();
}

} // namespace sycamore::daemon
