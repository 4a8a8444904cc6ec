#include <entry/LoadMessageJson.h>

#include <cmath>

namespace sycamore::entry {

namespace {

using Json = nlohmann::json;

// Rates are sent in tenths, which take fewer bytes than floating-point numbers.
constexpr double kRateUnits = 10;

std::uint64_t toRateUnits(double perSecond)
{
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, perSecond) * kRateUnits));
}

double readRate(const Json& json)
{
  return static_cast<double>(json.get<std::uint64_t>()) / kRateUnits;
}

Json writeRates(const std::map<unsigned, dispatch::DemandRate>& priorities)
{
  Json rows = Json::array();
  for (const auto& [priority, rate] : priorities) {
    rows.push_back(
      { priority, toRateUnits(rate.offeredPerSecond), toRateUnits(rate.refusedPerSecond) });
  }
  return rows;
}

std::map<unsigned, dispatch::DemandRate> readRates(const Json& rows)
{
  std::map<unsigned, dispatch::DemandRate> priorities;
  for (const Json& row : rows) {
    priorities[row.at(0).get<unsigned>()] = { readRate(row.at(1)), readRate(row.at(2)) };
  }
  return priorities;
}

Json writeDemand(const std::map<base::ServiceId, dispatch::ServiceDemand>& demand)
{
  Json services = Json::object();
  for (const auto& [service, priorities] : demand) {
    Json rows = Json::array();
    for (const auto& [priority, counts] : priorities) {
      rows.push_back({ priority, counts.offered, counts.refused });
    }
    services[service.value()] = std::move(rows);
  }
  return services;
}

std::map<base::ServiceId, dispatch::ServiceDemand> readDemand(const Json& services)
{
  std::map<base::ServiceId, dispatch::ServiceDemand> demand;
  for (const auto& [service, rows] : services.items()) {
    for (const Json& row : rows) {
      demand[base::ServiceId(service)][row.at(0).get<unsigned>()] = {
        row.at(1).get<std::uint32_t>(), row.at(2).get<std::uint32_t>()
      };
    }
  }
  return demand;
}

Json writeDomains(const std::map<base::DomainId, dispatch::DomainLoad>& domains)
{
  Json json = Json::object();
  for (const auto& [domain, load] : domains) {
    json[domain.value()] = { toRateUnits(load.offeredPerSecond),
                             toRateUnits(load.capacityPerSecond),
                             load.inFlight };
  }
  return json;
}

dispatch::ServiceLoad readServiceLoad(const Json& json)
{
  dispatch::ServiceLoad load;
  load.priorities = readRates(json.at(0));
  for (const auto& [domain, row] : json.at(1).items()) {
    load.domains[base::DomainId(domain)] = { readRate(row.at(0)),
                                             readRate(row.at(1)),
                                             row.at(2).get<unsigned>() };
  }
  return load;
}

} // namespace

std::int64_t toMilliseconds(base::Duration duration)
{
  return std::chrono::round<std::chrono::milliseconds>(duration).count();
}

Json toJson(const ServerUseMessage& message)
{
  Json servers = Json::object();
  for (const auto& [server, use] : message.servers) {
    servers[server.value()] = { use.inFlight, use.work.count, toMilliseconds(use.work.total) };
  }
  return Json::array({ kServerUseType, std::move(servers), writeDemand(message.demand) });
}

ServerUseMessage readServerUse(const Json& json)
{
  ServerUseMessage message;
  for (const auto& [server, use] : json.at(1).items()) {
    message.servers[base::ServerId(server)] = {
      use.at(0).get<unsigned>(),
      { use.at(1).get<std::uint32_t>(), std::chrono::milliseconds(use.at(2).get<std::int64_t>()) }
    };
  }
  message.demand = readDemand(json.at(2));
  return message;
}

Json toJson(const LoadSummaryMessage& message)
{
  Json servers = Json::object();
  for (const auto& [server, load] : message.summary.servers) {
    servers[server.value()] = { load.inFlight, toMilliseconds(load.work) };
  }
  Json services = Json::object();
  for (const auto& [service, load] : message.summary.services) {
    services[service.value()] = { writeRates(load.priorities), writeDomains(load.domains) };
  }
  return Json::array(
    { kLoadSummaryType, message.summary.vms, std::move(servers), std::move(services) });
}

LoadSummaryMessage readLoadSummary(const Json& json)
{
  LoadSummaryMessage message;
  message.summary.vms = json.at(1).get<std::size_t>();
  for (const auto& [server, load] : json.at(2).items()) {
    message.summary.servers[base::ServerId(server)] = {
      load.at(0).get<unsigned>(), std::chrono::milliseconds(load.at(1).get<std::int64_t>())
    };
  }
  for (const auto& [service, load] : json.at(3).items()) {
    message.summary.services[base::ServiceId(service)] = readServiceLoad(load);
  }
  return message;
}

Json toJson(const DomainSumsMessage& message)
{
  Json services = Json::object();
  for (const auto& [service, sums] : message.sums) {
    Json inFlight = Json::object();
    for (const auto& [domain, count] : sums.inFlight) {
      inFlight[domain.value()] = count;
    }
    services[service.value()] = { writeRates(sums.priorities),
                                  toRateUnits(sums.capacityPerSecond),
                                  std::move(inFlight) };
  }
  return Json::array({ kDomainSumsType, message.domain.value(), std::move(services) });
}

DomainSumsMessage readDomainSums(const Json& json)
{
  DomainSumsMessage message;
  message.domain = base::DomainId(json.at(1).get<std::string>());
  for (const auto& [service, row] : json.at(2).items()) {
    dispatch::DomainServiceSums& sums = message.sums[base::ServiceId(service)];
    sums.priorities = readRates(row.at(0));
    sums.capacityPerSecond = readRate(row.at(1));
    for (const auto& [domain, count] : row.at(2).items()) {
      sums.inFlight[base::DomainId(domain)] = count.get<unsigned>();
    }
  }
  return message;
}

Json writeLoadAggregators(const HeartbeatMessage& message)
{
  if (message.otherLoadAggregators.empty()) {
    return message.loadAggregator;
  }
  Json addresses = Json::array({ message.loadAggregator });
  for (const std::string& other : message.otherLoadAggregators) {
    addresses.push_back(other);
  }
  return addresses;
}

void readLoadAggregators(const Json& json, HeartbeatMessage& message)
{
  if (json.is_string()) {
    message.loadAggregator = json.get<std::string>();
    return;
  }
  message.loadAggregator = json.at(0).get<std::string>();
  for (std::size_t i = 1; i < json.size(); ++i) {
    message.otherLoadAggregators.push_back(json.at(i).get<std::string>());
  }
}

} // namespace sycamore::entry
