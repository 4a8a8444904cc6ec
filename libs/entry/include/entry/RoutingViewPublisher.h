#pragma once

#include <entry/EventLog.h>
#include <entry/ObjectMirror.h>
#include <entry/ServerEntries.h>

#include <dispatch/FormerServers.h>
#include <dispatch/LeavingServers.h>
#include <dispatch/RoutingView.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace sycamore::entry {

// Keeps what the traffic thread needs to route requests, and publishes a snapshot of it after each
// change. Control thread only.
class RoutingViewPublisher
{
public:
  using Publish = std::function<void(std::shared_ptr<const dispatch::RoutingView>)>;

  // `log` has to outlive this object.
  RoutingViewPublisher(EventLog& log, Publish publish);

  const dispatch::RoutingView& view() const { return view_; }

  // Adopts the configuration that the objects hold, if any. An unreadable or older one is logged
  // and not adopted. Returns whether the one in the objects is in force.
  bool setConfiguration(const ObjectMirror::Objects& objects);
  void setServers(const ObjectMirror::Objects& objects, base::TimePoint now);
  void setDomainsOut(const ObjectMirror::Objects& objects);
  void setOwnership(std::shared_ptr<const dispatch::OwnershipRecord> ownership);
  void setLimitedServers(std::vector<dispatch::LimitedServer> servers);
  // Sets the number of live entry VMs; 0 is ignored. `isCountedHere` states whether this VM has
  // counted them, for the log.
  void setEntryVms(std::size_t count, bool isCountedHere);

  // The copy of the configuration in the store is shown to hold all changes up to this time.
  void onConfigurationCurrent(base::TimePoint currentAt);
  // Servers have said that they leave.
  void onServersLeaving(const std::vector<dispatch::ServerIncarnation>& servers);

  // Returns whether requests need keys, whose validity depends on how current the copy of the
  // configuration is.
  bool requiresKeys() const;
  // Returns the registered servers that have said that they leave.
  const std::vector<dispatch::ServerIncarnation>& leavingServers() const
  {
    return leavingServers_.registered();
  }
  // Returns the servers whose entries were removed or replaced lately.
  std::vector<dispatch::BackendServer> formerServers(base::TimePoint now) const
  {
    return formerServers_.servers(now);
  }
  // Returns the servers that are known to have ended lately or to be draining.
  std::vector<dispatch::ServerIncarnation> endedServers(base::TimePoint now) const;

private:
  void publish();

  EventLog& log_;
  Publish publish_;
  dispatch::RoutingView view_;
  ServerEntries serverEntries_;
  dispatch::LeavingServers leavingServers_;
  dispatch::FormerServers formerServers_;
  // Whether the configuration in force is the copy's.
  bool isConfigurationInForce_ = false;
};

} // namespace sycamore::entry
