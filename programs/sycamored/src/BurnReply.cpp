#include "BurnReply.h"

namespace sycamore::daemon {

operators::BurnReport toBurnReply(telemetry::BurnReport report,
                                  const operators::BurnReportRequest& request)
{
  if (!request.service.empty()) {
    report.keepOnly(base::ServiceId(request.service));
  }
  operators::BurnReport reply;
  for (const auto& [service, snapshot] : report.services()) {
    for (std::size_t i = 0; i < telemetry::kBurnRateWindows.size(); ++i) {
      const telemetry::ServiceLevelCounts& counts = snapshot.windows[i];
      operators::BurnRow row;
      row.service = service.value();
      row.window = std::string(telemetry::kBurnRateWindows[i].name);
      row.requests = counts.total();
      row.goodRatio = 1.0 - counts.badRatio();
      row.objective = snapshot.goodRatio;
      row.burnRate = snapshot.burnRate(counts);
      reply.rows.push_back(row);
    }
  }
  for (const base::VmId& vm : report.missingVms()) {
    operators::BurnRow row;
    row.service = vm.value();
    row.window = "missing";
    reply.rows.push_back(row);
  }
  if (request.html) {
    reply.html = report.html();
  }
  return reply;
}

} // namespace sycamore::daemon
