#include <entry/ControlStatus.h>

#include <telemetry/PrometheusText.h>

namespace sycamore::entry {

namespace {

void gauge(std::string& out, const std::string& name, const std::string& help, double value)
{
  const std::string full = "sycamore_entry_" + name;
  telemetry::writeMetricHeader(out, full, help, "gauge");
  out += full + ' ' + telemetry::numberText(value) + '\n';
}

// Writes a gauge with one series for each kind of objects that are copied.
void gaugeByKind(std::string& out,
                 const std::string& name,
                 const std::string& help,
                 const std::array<double, 3>& values)
{
  constexpr std::array kKinds{ "configuration", "servers", "domains_out" };
  const std::string full = "sycamore_entry_" + name;
  telemetry::writeMetricHeader(out, full, help, "gauge");
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    out += full + telemetry::labelText({ "kind" }, { kKinds.at(i) }) + ' ' +
           telemetry::numberText(values.at(i)) + '\n';
  }
}

void call(std::string& out, const std::string& name, const char* kind, std::uint64_t count)
{
  out += name + telemetry::labelText({ "kind" }, { kind }) + ' ' + std::to_string(count) + '\n';
}

} // namespace

void writeStatus(std::string& out, const ControlStatus& status)
{
  gauge(out, "coordinating", "1 while this VM assigns the keys.", status.isCoordinator ? 1 : 0);
  gauge(out, "watching", "1 while this VM watches the store itself.", status.watchesStore ? 1 : 0);
  gauge(out,
        "store_reachable",
        "1 if the last call to the store was answered.",
        status.storeReachable ? 1 : 0);
  gauge(out,
        "ownership_revision",
        "Revision of the known ownership record.",
        static_cast<double>(status.ownershipRevision));
  gauge(out,
        "ranges",
        "Ranges of keys that this VM manages as coordinator.",
        static_cast<double>(status.ranges));
  gauge(out,
        "ranges_unowned",
        "Managed ranges that no server holds.",
        static_cast<double>(status.rangesUnowned));
  gauge(out,
        "entry_vms",
        "Entry VMs among which limits are shared.",
        static_cast<double>(status.entryVms));
  gauge(out,
        "coordinator_silence_seconds",
        "Time since the coordinator was last heard.",
        status.secondsSinceHeartbeat);
  gaugeByKind(out,
              "copy_behind_seconds",
              "Time for which the copy of a kind is known to lack a change.",
              status.secondsBehind);
  gaugeByKind(out,
              "copy_age_seconds",
              "Time since the store last showed that the copy of a kind holds all changes.",
              status.secondsSinceCurrent);
  const std::string spreads = "sycamore_entry_hot_span_spreads_total";
  telemetry::writeMetricHeader(
    out, spreads, "Times that hot keys were spread over several servers.", "counter");
  out += spreads + ' ' + std::to_string(status.hotSpanSpreads) + '\n';
  const std::string tokens = "sycamore_entry_release_tokens_malformed_total";
  telemetry::writeMetricHeader(
    out, tokens, "Tokens in answers to releases that can't be passed on.", "counter");
  out += tokens + ' ' + std::to_string(status.malformedTokens) + '\n';
  const std::string orders = "sycamore_entry_order_answers_total";
  telemetry::writeMetricHeader(
    out, orders, "Answers to grants and releases by the id that they carried.", "counter");
  call(out, orders, "own_id", status.orderAnswers.ownId);
  call(out, orders, "no_id", status.orderAnswers.withoutId);
  call(out, orders, "other_id", status.orderAnswers.otherId);
  call(out, orders, "unasked", status.orderAnswers.unasked);
  const std::string quotas = "sycamore_entry_quota_requests_total";
  telemetry::writeMetricHeader(
    out, quotas, "Requests of quotas that this VM lent, denied and got back.", "counter");
  call(out, quotas, "lent", status.quotas.lent);
  call(out, quotas, "denied", status.quotas.denied);
  call(out, quotas, "returned", status.quotas.returned);
  const std::string calls = "sycamore_entry_store_calls_total";
  telemetry::writeMetricHeader(out, calls, "Calls to the store by kind.", "counter");
  call(out, calls, "list", status.calls.lists);
  call(out, calls, "watch", status.calls.watches);
  call(out, calls, "read", status.calls.reads);
  call(out, calls, "write", status.calls.writes);
  const std::string failed = "sycamore_entry_store_calls_failed_total";
  telemetry::writeMetricHeader(
    out, failed, "Calls to the store that failed or were refused.", "counter");
  out += failed + ' ' + std::to_string(status.calls.failed) + '\n';
}

} // namespace sycamore::entry
