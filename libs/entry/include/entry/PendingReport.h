#pragma once

#include <entry/PeerMessage.h>

#include <base/Time.h>
#include <dispatch/KeyReport.h>
#include <dispatch/WorkMean.h>

#include <map>
#include <vector>

namespace sycamore::entry {

// Gathers what this VM has to tell the coordinator, and decides when the next report is due. While
// keys are hot, reports are sent more often. Control thread only.
class PendingReport
{
public:
  void addKeys(const dispatch::KeyReports& keys);
  void addWork(const std::map<base::ServerId, dispatch::WorkSample>& work);
  // Connections beyond a maximum number are left out.
  void addConnectionBreak(const ConnectionBreak& connectionBreak);

  bool isDue(base::TimePoint now) const;
  // Sets the time from which on the next report is due. A report was sent, or there was nobody to
  // send it to.
  void scheduleNext(base::TimePoint now);

  // Moves the gathered data to the report.
  void moveTo(ReportMessage& message);
  // Returns the broken connections and forgets them: a coordinator sends them to the other VMs.
  std::vector<ConnectionBreak> takeConnectionBreaks();

private:
  dispatch::KeyReports keys_;
  std::map<base::ServerId, dispatch::WorkSample> work_;
  std::vector<ConnectionBreak> connectionBreaks_;
  base::TimePoint nextReportAt_{};
  // Time from which on a report with hot keys may be sent.
  base::TimePoint nextHotReportAt_{};
};

} // namespace sycamore::entry
