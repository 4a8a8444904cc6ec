#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::membership {

// Role of a VM in the platform's list.
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
  // "ip:port" for callers (entry VM), or for requests and grants (backend server).
  std::string address;
  // "ip:port" for other entry VMs; empty for backend servers.
  std::string peerAddress;
  base::DomainId domain;
  // Service of a backend server; empty for entry VMs.
  base::ServiceId service;
  ListedState state = ListedState::Live;
};

// Timeouts of membership.
struct MembershipTimings
{
  // An entry VM without a heartbeat for this long counts as lost. Allows for three heartbeat
  // intervals of 250 ms and a stall of 300 ms.
  base::Duration peerTimeout = std::chrono::milliseconds(1050);
  // A listed entry VM without any heartbeat yet counts as live for this long.
  base::Duration firstHeartbeatTimeout = std::chrono::seconds(3);
  // An entry VM that is unresponsive and missing from the list is removed from the table after this
  // time.
  base::Duration removalDelay = std::chrono::seconds(30);
};

// A known entry VM other than this one.
struct Peer
{
  base::VmId id;
  std::string peerAddress;
  base::DomainId domain;
  base::Incarnation incarnation;
  // Whether the VM itself or the list reports that it is leaving.
  bool leaving = false;
  bool listed = false;
  base::TimePoint lastHeartbeatAt;
  base::TimePoint knownSince;
  // Time since which the list has not contained the VM; only meaningful while `listed` is false.
  base::TimePoint missingSince;
};

// Table of the entry VMs and backend servers that exist and are alive, from heartbeats and from the
// platform's list, which lags. Heartbeats take precedence over the list: a VM that sends heartbeats
// is alive even if the list doesn't contain it yet, and an unresponsive one is lost even if the
// list still contains it. While the platform is down the last list remains in effect. Not
// thread-safe.
class MemberTable
{
public:
  MemberTable(base::VmId self, base::DomainId domain, MembershipTimings timings);

  // Updates the table from a new list. Backend servers missing from it are removed; entry VMs stay
  // while they send heartbeats.
  void updateFromList(const std::vector<ListedVm>& list, base::TimePoint now);

  // An entry VM sent a heartbeat, or answered one.
  void onHeartbeat(const base::VmId& from,
                   const std::string& peerAddress,
                   const base::DomainId& domain,
                   base::Incarnation incarnation,
                   bool leaving,
                   base::TimePoint now);

  // Returns all known entry VMs except this one, alive or not.
  std::vector<Peer> peers() const;

  std::optional<Peer> findPeer(const base::VmId& id) const;

  bool isAlive(const base::VmId& id, base::TimePoint now) const;

  // Returns the live entry VMs, including this one, sorted by id. Leaving ones are included only on
  // request.
  std::vector<base::VmId> liveEntryVms(base::TimePoint now, bool includeLeaving = false) const;

  // Returns the failure domain of an entry VM; nothing for an unknown one.
  std::optional<base::DomainId> domainOf(const base::VmId& id) const;

  // Returns whether this VM watches the platform for its failure domain. The relay is the domain's
  // live VM with the lowest id.
  bool isRelay(base::TimePoint now) const;

  // Returns whether an entry VM is unresponsive and has been missing from the list for the given
  // time.
  bool isGone(const base::VmId& id, base::Duration missing, base::TimePoint now) const;

  // Returns the backend servers of the last list, by id.
  const std::map<base::ServerId, ListedVm>& servers() const { return servers_; }

  const base::VmId& self() const { return self_; }
  const base::DomainId& selfDomain() const { return domain_; }

  // Marks this VM as leaving.
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
