#pragma once

#include <telemetry/ServiceLevelTracker.h>
#include <telemetry/VmSnapshot.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>

namespace sycamore::telemetry {

// The ServiceLevelTracker of all configured services. Safe from all threads; a record takes the
// lock of its service for the time of a few additions.
class ServiceLevelRegistry
{
public:
  using Update = std::function<void(ServiceLevelTracker& tracker)>;

  // Takes the services in effect. The counts of services that are gone are forgotten.
  void setServices(const std::map<base::ServiceId, ServiceLevelObjective>& services,
                   base::TimePoint now);

  // Answers for services that are not configured are not counted.
  void recordAnswer(const RequestSample& sample, base::TimePoint now);
  void recordLoad(const base::ServiceId& service,
                  const base::ServerId& server,
                  base::TimePoint now);

  // Calls use() with the service's counts under its lock; not called for an unknown service.
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
