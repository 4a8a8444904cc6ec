#pragma once

#include <telemetry/BurnForm.h>

#include <map>
#include <set>
#include <string>

namespace sycamore::telemetry {

// The forms of all reachable VMs, merged. A plain value.
class BurnReport
{
public:
  // A second form of the same VM is ignored.
  void add(const BurnForm& form);
  // A VM whose form could not be had.
  void addMissing(const base::VmId& vm);
  // Leaves only one service in the report.
  void keepOnly(const base::ServiceId& service);

  const std::map<base::ServiceId, ServiceForm>& services() const { return services_; }
  const std::set<base::VmId>& vms() const { return vms_; }
  const std::set<base::VmId>& missing() const { return missing_; }
  bool isComplete() const { return missing_.empty(); }

  // Plain text for a terminal.
  std::string table() const;
  std::string json() const;
  // One self-contained page.
  std::string html() const;

private:
  std::set<base::VmId> vms_;
  std::set<base::VmId> missing_;
  std::map<base::ServiceId, ServiceForm> services_;
};

} // namespace sycamore::telemetry
