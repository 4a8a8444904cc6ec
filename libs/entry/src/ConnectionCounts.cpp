#include <entry/ConnectionCounts.h>

#include <telemetry/PrometheusText.h>

namespace sycamore::entry {

namespace {

const char* const kName = "sycamore_entry_server_connections_total";

} // namespace

bool isResetBeforeSend(const ExchangeResult& result)
{
  return result.end == ExchangeEnd::NotSent && !result.reused &&
         result.connectionAge > base::Duration::zero();
}

bool isResetWhenNew(const ExchangeResult& result)
{
  return result.end == ExchangeEnd::Broken && !result.reused && !result.answerBegan;
}

void ConnectionCounts::record(const base::ServiceId& service, const ExchangeResult& result)
{
  Counts& counts = byService_[service];
  ++(result.reused ? counts.reused : counts.opened);
  counts.failed += result.end == ExchangeEnd::NotSent && !result.reused ? 1 : 0;
  counts.reset += isResetWhenNew(result) ? 1 : 0;
}

nlohmann::json ConnectionCounts::toJson() const
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, counts] : byService_) {
    json[service.value()] = { counts.opened, counts.reused, counts.failed, counts.reset };
  }
  return json;
}

void ConnectionCounts::write(std::string& out) const
{
  telemetry::writeMetricHeader(
    out,
    kName,
    "Connections to servers that requests were sent on, by service and use.",
    "counter");
  const auto row = [&out](const base::ServiceId& service, const char* use, std::uint64_t count) {
    out += kName + telemetry::labelText({ "service", "use" }, { service.value(), use }) + ' ' +
           std::to_string(count) + '\n';
  };
  for (const auto& [service, counts] : byService_) {
    row(service, "opened", counts.opened);
    row(service, "reused", counts.reused);
    row(service, "failed", counts.failed);
    row(service, "reset", counts.reset);
  }
}

} // namespace sycamore::entry
