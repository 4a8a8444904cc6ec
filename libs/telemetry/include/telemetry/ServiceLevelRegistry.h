#pragma once

#include <telemetry/ServiceLevelTracker.h>
#include <telemetry/VmSnapshot.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>

namespace sycamore::telemetry {

// Holds a ServiceLevelTracker for each configured service. Thread-safe; recording holds the lock of
// the service for a few additions only.
class ServiceLevelRegistry
{
public:
  using Update = std::function<void(ServiceLevelTracker& tracker)>;

  // Replaces the set of services. The counts of services that are no longer configured are
  // discarded.
  void setServices(const std::map<base::ServiceId, ServiceLevelObjective>& services,
                   base::TimePoint now);

  // Counts an answer or a request to a server; services that are not configured are ignored.
  void recordAnswer(const RequestSample& sample, base::TimePoint now);
  void recordLoad(const base::ServiceId& service,
                  const base::ServerId& server,
                  base::TimePoint now);

  // Calls updateTracker with the tracker of the service under its lock; does nothing for an unknown
  // service.
  void update(const base::ServiceId& service, const Update& updateTracker);

  VmSnapshot snapshot(const base::VmId& vm, base::TimePoint now) const;

private:
  struct Entry
  {
    Entry(ServiceLevelObjective objective, base::TimePoint now)
      : tracker(objective, now)
    {
    }
    std::mutex mutex;
    ServiceLevelTracker tracker;
  };

  std::shared_ptr<Entry> find(const base::ServiceId& service) const;

  mutable std::shared_mutex mutex_;
  std::map<base::ServiceId, std::shared_ptr<Entry>> entries_;
};

} // namespace sycamore::telemetry
