#include "StatusApi.h"

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace sycamore::daemon {

namespace {

constexpr base::milliseconds kControlTimeout{ 1000 };
constexpr std::size_t kMaxFaultBody = 65536;

void writeCounter(std::ostream& out, const char* name, std::uint64_t value)
{
  out << "# TYPE sycamore_" << name << " counter\nsycamore_" << name << ' ' << value << '\n';
}

} // namespace

StatusApi::StatusApi(control::ControlThread& thread,
                     control::Controller& controller,
                     router::DispatcherTable& dispatchers,
                     transport::FaultSwitch& faults,
                     bool debugFaults)
  : thread_(thread)
  , controller_(controller)
  , dispatchers_(dispatchers)
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
    const bool serves = ready.value_or(false) && !draining_;
    response.send(serves ? 200 : 503, serves ? "ready\n" : "not ready\n", "text/plain");
  } else if (request.path() == "/debug/faults" && debugFaults_) {
    setFaults(request, response);
  } else {
    response.send(404, "not found\n", "text/plain");
  }
}

void StatusApi::setFaults(transport::ServerRequest& request, transport::ServerResponse& response)
{
  const auto body =
    nlohmann::json::parse(request.readBody(kMaxFaultBody).value_or(""), nullptr, false);
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
  const control::ControlCounters& counters = controller_.counters();
  writeCounter(out, "vote_requests_total", counters.voteRequestsSent);
  writeCounter(out, "vote_batches_total", counters.voteBatchesSent);
  writeCounter(out, "grants_sent_total", counters.grantsSent);
  writeCounter(out, "grants_refused_total", counters.grantsRefused);
  writeCounter(out, "grants_unanswered_total", counters.grantsUnanswered);
  writeCounter(out, "tenancies_gained_total", counters.tenanciesGained);
  writeCounter(out, "tenancies_lost_total", counters.tenanciesLost);
  writeCounter(out, "evictions_total", counters.evictions);
  writeCounter(out, "permits_received_total", counters.permitsReceived);
  writeCounter(out, "heartbeats_sent_total", counters.heartbeatsSent);
  writeCounter(out, "map_writes_total", counters.mapWrites);
  writeCounter(out, "map_conflicts_total", counters.mapConflicts);
  writeCounter(out, "maps_adopted_total", counters.mapsAdopted);
  writeCounter(out, "platform_calls_total", counters.platformCalls);
  writeCounter(out, "platform_failures_total", counters.platformFailures);
  writeCounter(out, "config_adoptions_total", counters.configAdoptions);
  out << "# TYPE sycamore_requests_in_flight gauge\n";
  for (const auto& dispatcher : dispatchers_.all()) {
    out << "sycamore_requests_in_flight{server=\"" << dispatcher->server() << "\"} "
        << dispatcher->inFlight() << '\n';
  }
  return out.str();
}

} // namespace sycamore::daemon
