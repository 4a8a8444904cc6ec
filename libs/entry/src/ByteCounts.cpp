#include <entry/ByteCounts.h>

#include <telemetry/PrometheusText.h>

namespace sycamore::entry {

namespace {

const char* const kName = "sycamore_entry_bytes_total";

void writeRows(std::string& out, const ByteCounts& counts)
{
  const auto row = [&out](const std::string& kind, const char* scope, std::uint64_t bytes) {
    out += kName + telemetry::labelText({ "kind", "domain" }, { kind, scope }) + ' ' +
           std::to_string(bytes) + '\n';
  };
  for (const auto& [kind, bytes] : counts.byKind()) {
    row(kind, "same", bytes.sameDomain);
    row(kind, "other", bytes.otherDomain);
  }
}

} // namespace

void ByteCounts::add(const std::string& kind, bool isSameDomain, std::uint64_t bytes)
{
  Bytes& counts = byKind_[kind];
  (isSameDomain ? counts.sameDomain : counts.otherDomain) += bytes;
}

nlohmann::json ByteCounts::toJson() const
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [kind, bytes] : byKind_) {
    json[kind] = { bytes.sameDomain, bytes.otherDomain };
  }
  return json;
}

void writeByteCounts(std::string& out, const ByteCounts& first, const ByteCounts& second)
{
  telemetry::writeMetricHeader(
    out, kName, "Bytes exchanged by kind of message and by failure domain.", "counter");
  writeRows(out, first);
  writeRows(out, second);
}

} // namespace sycamore::entry
