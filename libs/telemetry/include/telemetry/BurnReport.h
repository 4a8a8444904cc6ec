#pragma once

#include <telemetry/VmSnapshot.h>

#include <map>
#include <set>
#include <string>

namespace sycamore::telemetry {

// The merged snapshots of all VMs that answered. A plain value without synchronization.
class BurnReport
{
public:
  // Merges the snapshot of one VM; a second snapshot of the same VM is ignored.
  void add(const VmSnapshot& snapshot);
  // Records a VM whose snapshot could not be fetched.
  void addMissingVm(const base::VmId& vm);
  // Removes all services but one from the report.
  void keepOnly(const base::ServiceId& service);

  const std::map<base::ServiceId, ServiceLevelSnapshot>& services() const { return services_; }
  const std::set<base::VmId>& vms() const { return vms_; }
  const std::set<base::VmId>& missingVms() const { return missingVms_; }
  bool isComplete() const { return missingVms_.empty(); }

  // Renders the report as plain text for a terminal.
  std::string table() const;
  std::string json() const;
  // Renders the report as one self-contained page.
  std::string html() const;

private:
  std::set<base::VmId> vms_;
  std::set<base::VmId> missingVms_;
  std::map<base::ServiceId, ServiceLevelSnapshot> services_;
};

} // namespace sycamore::telemetry
