#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace sycamore::dispatch {

// Time at which an entry VM sent a report, by its own clock. Only that VM can compare it with other
// times.
using ReportStamp = std::int64_t;

// Tells an entry VM how old the coordinator's copies are without comparing clocks, however long
// messages take: the time up to which a copy is shown to hold all changes, counted from the arrival
// of a report of that VM, which names the report by the VM's own clock.
struct ReportEcho
{
  ReportStamp stamp = 0;
  // Negative if the copy was last shown current before the report arrived.
  base::Duration currentAfterReport{};

  bool operator==(const ReportEcho&) const = default;
};

// The coordinator's memory of the other VMs' last reports.
class ReportStamps
{
public:
  void onReport(const base::VmId& vm, ReportStamp stamp, base::TimePoint now)
  {
    reports_[vm] = { stamp, now };
  }

  // Returns what to tell a VM about a copy that is shown to hold all changes up to `currentAt`.
  std::optional<ReportEcho> echoFor(const base::VmId& vm, base::TimePoint currentAt) const
  {
    const auto found = reports_.find(vm);
    if (found == reports_.end() || currentAt == base::TimePoint{}) {
      return std::nullopt;
    }
    return ReportEcho{ found->second.stamp, currentAt - found->second.arrivedAt };
  }

private:
  struct Report
  {
    ReportStamp stamp = 0;
    base::TimePoint arrivedAt{};
  };

  std::map<base::VmId, Report> reports_;
};

// A VM's memory of its own reports, by which it reads the echoes.
class SentReports
{
public:
  ReportStamp onSend(base::TimePoint now)
  {
    first_ = first_ == base::TimePoint{} ? now : first_;
    last_ = now;
    return now.time_since_epoch().count();
  }

  // Returns a time, by this VM's clock, up to which the coordinator's copy holds all changes;
  // nothing if the echo is of another process's report. The report arrived after it was sent, so
  // that the copy is at least as current as the result says.
  std::optional<base::TimePoint> currentAt(const ReportEcho& echo) const
  {
    const base::TimePoint sentAt{ base::Duration(echo.stamp) };
    if (first_ == base::TimePoint{} || sentAt < first_ || sentAt > last_) {
      return std::nullopt;
    }
    return sentAt + echo.currentAfterReport;
  }

private:
  base::TimePoint first_{};
  base::TimePoint last_{};
};

} // namespace sycamore::dispatch
