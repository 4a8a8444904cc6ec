#include "ControlCountersText.h"

#include <telemetry/PrometheusText.h>

namespace sycamore::daemon {

namespace {

struct CounterRow
{
  const char* name;
  const char* help;
  std::atomic<std::uint64_t> control::ControlCounters::*value;
};

using Counters = control::ControlCounters;

constexpr CounterRow kRows[] = {
  { "vote_requests_total", "Votes asked of other entry VMs.", &Counters::voteRequestsSent },
  { "vote_batches_total", "Messages with votes asked for.", &Counters::voteBatchesSent },
  { "grants_sent_total", "Grants sent to backend servers.", &Counters::grantsSent },
  { "grants_refused_total", "Grants that a server refused.", &Counters::grantsRefused },
  { "grants_unanswered_total", "Grants without an answer.", &Counters::grantsUnanswered },
  { "tenancies_gained_total", "Tenancies that this VM won.", &Counters::leasesGained },
  { "tenancies_lost_total", "Tenancies that this VM lost.", &Counters::leasesLost },
  { "evictions_total", "Servers evicted by this VM.", &Counters::evictions },
  { "permits_received_total", "Permits received.", &Counters::permitsReceived },
  { "heartbeats_sent_total", "Heartbeats sent.", &Counters::heartbeatsSent },
  { "map_writes_total", "Shard maps written.", &Counters::mapWrites },
  { "map_conflicts_total", "Map writes lost to another one.", &Counters::mapConflicts },
  { "maps_adopted_total", "Newer maps taken into use.", &Counters::mapsAdopted },
  { "shards_moved_total", "Shards given another owner.", &Counters::shardsMoved },
  { "platform_calls_total", "Calls to the platform.", &Counters::platformCalls },
  { "platform_failures_total", "Calls to the platform that failed.", &Counters::platformFailures },
  { "config_adoptions_total", "Configurations taken into use.", &Counters::configAdoptions },
};

// Ensures that each counter has a row; one without it would be missing from /metrics.
static_assert(sizeof(Counters) == std::size(kRows) * sizeof(std::atomic<std::uint64_t>));

} // namespace

std::string controlCountersText(const Counters& counters)
{
  std::string out;
  for (const CounterRow& row : kRows) {
    const std::string name = std::string("sycamore_") + row.name;
    telemetry::writeMetricHeader(out, name, row.help, "counter");
    out += name + ' ' + std::to_string((counters.*row.value).load()) + '\n';
  }
  return out;
}

} // namespace sycamore::daemon
