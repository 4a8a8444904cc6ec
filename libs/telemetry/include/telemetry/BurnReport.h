#pragma once

#include <telemetry/VmSnapshot.h>

#include <map>
#include <set>
#include <string>

namespace sycamore::telemetry {

// The forms of all reachable VMs, merged. A plain value.
class BurnReport
{
public:
  // A second form of the same VM is ignored.
  void add(const VmSnapshot& snapshot);
  // A VM whose form could not be had.
  void addMissingVm(const base::VmId& vm);
  // Leaves only one service in the report.
  void keepOnly(const base::ServiceId& service);

  const std::map<base::ServiceId, ServiceLevelSnapshot>& services() const { return services_; }
  const std::set<base::VmId>& vms() const { return vms_; }
  const std::set<base::VmId>& missingVms() const { return missingVms_; }
  bool isComplete() const { return missingVms_.empty(); }

  // Plain text for a terminal.
  std::string table() const;
  std::string json() const;
  // One self-contained page.
  std::string html() const;

private:
  std::set<base::VmId> vms_;
  std::set<base::VmId> missingVms_;
  std::map<base::ServiceId, ServiceLevelSnapshot> services_;
};

} // namespace sycamore::telemetry
