#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/ServiceDemand.h>
#include <dispatch/WorkMean.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Number of VMs in a failure domain from which on they share their load. Fewer VMs each see most of
// a server's load in its own answers, which are more recent than a summary.
inline constexpr std::size_t kMinSharingVms = 12;

// What one entry VM knows of its own use of a server.
struct ServerUse
{
  // Requests that it has sent and that haven't ended.
  unsigned inFlight = 0;
  // Requests that the server ran for it since its last report.
  WorkSample work;
};

// What the entry VMs of one failure domain know together of their use of a server.
struct SharedServerLoad
{
  unsigned inFlight = 0;
  // Mean processing time of a request; zero if there are no recent samples.
  base::Duration work{};
};

// The shared load of all servers that the VMs of a domain use.
struct LoadSummary
{
  std::map<base::ServerId, SharedServerLoad> servers;
  // Load of the services over all failure domains that share theirs.
  std::map<base::ServiceId, ServiceLoad> services;
  // Number of VMs whose reports are included.
  std::size_t vms = 0;
};

// Adds up the reports of the entry VMs of a failure domain. With hundreds of VMs and servers, one
// VM sends to a server too rarely to know its queue or its speed; together they know both. One VM
// of the domain does this for all and sends the summary back to those that report to it.
class LoadAggregator
{
public:
  // A VM has reported its use of the servers. Servers without use are left out.
  void onReport(const std::string& address,
                const std::map<base::ServerId, ServerUse>& use,
                base::TimePoint now);

  // Returns the summary of the VMs that have reported recently, and forgets the others.
  LoadSummary summary(base::TimePoint now);

  // Returns the addresses of the VMs in the last summary.
  std::vector<std::string> reporters() const;

private:
  struct Report
  {
    std::map<base::ServerId, unsigned> inFlight;
    base::TimePoint receivedAt;
  };

  std::map<std::string, Report> reports_;
  std::map<base::ServerId, WorkMean> work_;
};

// Returns the estimated number of requests that other entry VMs have in flight at a server, from a
// summary that includes `own` of this VM. `share` is the share of the summarized VMs in all that
// send to the server. The part of the others is extrapolated with caution: a few requests in one
// domain say little about the other domains, and too high an estimate would refuse requests.
double estimateOthersInFlight(unsigned inFlight, unsigned own, double share);

} // namespace sycamore::dispatch
