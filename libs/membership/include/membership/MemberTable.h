#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::membership {

// What a VM of the platform's list does.
enum class Role
{
  Entry,
  Backend
};

// State of a VM in the platform's list.
enum class ListedState
{
  Live,
  Leaving
};

// A row of the platform's VM list.
struct ListedVm
{
  std::string id;
  Role role = Role::Entry;
  // For callers (entry VM) or for work and grants (backend server), "ip:port".
  std::string address;
  // For other entry VMs, "ip:port"; empty for backend servers.
  std::string peerAddress;
  base::DomainId domain;
  // Service of a backend server; empty for entry VMs.
  base::ServiceId service;
  ListedState state = ListedState::Live;
};

// Time bounds of membership.
struct MembershipTimings
{
  // An entry VM that was silent for this long counts as lost. Three heartbeats of 250 ms and a
  // 300 ms stall.
  base::Duration peerTimeout = std::chrono::milliseconds(1050);
  // A listed entry VM that has not been heard yet counts as live for this long.
  base::Duration firstHeartbeatTimeout = std::chrono::seconds(3);
  // An entry VM that is silent and missing from the list is forgotten after this time.
  base::Duration removalDelay = std::chrono::seconds(30);
};

// A known entry VM other than this one.
struct Peer
{
  base::VmId id;
  std::string peerAddress;
  base::DomainId domain;
  base::Incarnation incarnation;
  // Whether the VM itself or the list says that it is leaving.
  bool leaving = false;
  bool listed = false;
  base::TimePoint lastHeartbeatAt;
  base::TimePoint knownSince;
  // Time at which the list first lacked the VM; only meaningful while listed is false.
  base::TimePoint missingSince;
};

// Which entry VMs and backend servers exist and are alive, from the platform's lagging list and
// from heartbeats. Heartbeats win over the list: a VM that is heard is alive although the list
// doesn't show it yet, and a silent one is lost although the list still shows it. While the
// platform is down the last list stays in force. Not thread-safe.
class MemberTable
{
public:
  MemberTable(base::VmId self, base::DomainId domain, MembershipTimings timings);

  // Takes a new list. Backend servers that it lacks are gone; entry VMs stay while they are heard.
  void updateFromList(const std::vector<ListedVm>& list, base::TimePoint now);

  // Takes a heartbeat of an entry VM, or its answer to one.
  void onHeartbeat(const base::VmId& from,
                   const std::string& peerAddress,
                   const base::DomainId& domain,
                   base::Incarnation incarnation,
                   bool leaving,
                   base::TimePoint now);

  // All entry VMs known but this one, alive or not.
  std::vector<Peer> peers() const;

  std::optional<Peer> findPeer(const base::VmId& id) const;

  bool isAlive(const base::VmId& id, base::TimePoint now) const;

  // Entry VMs that are alive, with this one, by id. Leaving ones are left out unless asked for.
  std::vector<base::VmId> liveEntryVms(base::TimePoint now, bool includeLeaving = false) const;

  // Failure domain of an entry VM, or nothing for an unknown one.
  std::optional<base::DomainId> domainOf(const base::VmId& id) const;

  // Whether this VM is the one of its failure domain that watches the platform: the live one
  // with the lowest id.
  bool isRelay(base::TimePoint now) const;

  // Whether an entry VM is silent and has been missing from the list for the given time.
  bool isGone(const base::VmId& id, base::Duration missing, base::TimePoint now) const;

  // Backend servers of the last list, by id.
  const std::map<base::ServerId, ListedVm>& servers() const { return servers_; }

  const base::VmId& self() const { return self_; }
  const base::DomainId& selfDomain() const { return domain_; }

  // Says that this VM is leaving.
  void setSelfLeaving() { selfLeaving_ = true; }
  bool isSelfLeaving() const { return selfLeaving_; }

private:
  bool isAlive(const Peer& peer, base::TimePoint now) const;
  void removeGonePeers(base::TimePoint now);

  const base::VmId self_;
  const base::DomainId domain_;
  const MembershipTimings timings_;
  bool selfLeaving_ = false;
  base::TimePoint firstListAt_;
  std::map<base::VmId, Peer> peers_;
  std::map<base::ServerId, ListedVm> servers_;
};

} // namespace sycamore::membership
