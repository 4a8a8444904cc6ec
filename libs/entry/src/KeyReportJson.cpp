#include <entry/KeyReportJson.h>

namespace sycamore::entry {

namespace {

using Json = nlohmann::json;
using Counts = std::map<std::uint16_t, std::uint32_t>;

Json writeCounts(const Counts& counts)
{
  Json flat = Json::array();
  for (const auto& [number, count] : counts) {
    flat.push_back(number);
    flat.push_back(count);
  }
  return flat;
}

Counts readCounts(const Json& flat)
{
  Counts counts;
  for (std::size_t i = 0; i + 1 < flat.size(); i += 2) {
    counts[flat[i].get<std::uint16_t>()] += flat[i + 1].get<std::uint32_t>();
  }
  return counts;
}

} // namespace

Json writeKeyBuckets(const dispatch::KeyReports& reports)
{
  Json services = Json::object();
  for (const auto& [service, report] : reports) {
    services[service.value()] = writeCounts(report.buckets());
  }
  return services;
}

Json writeHotKeys(const dispatch::KeyReports& reports)
{
  Json services = Json::object();
  for (const auto& [service, report] : reports) {
    if (report.hasHotSpan()) {
      services[service.value()] = writeCounts(report.hotKeys());
    }
  }
  return services;
}

dispatch::KeyReports readKeyReports(const Json& buckets, const Json& hotKeys)
{
  dispatch::KeyReports reports;
  for (const auto& [service, counts] : buckets.items()) {
    const Json keys = hotKeys.value(service, Json::array());
    reports[base::ServiceId(service)] = dispatch::KeyReport(readCounts(counts), readCounts(keys));
  }
  return reports;
}

} // namespace sycamore::entry
