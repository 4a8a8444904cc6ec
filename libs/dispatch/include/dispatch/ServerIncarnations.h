#pragma once

#include <dispatch/BackendServer.h>
#include <dispatch/CoordinatorSettings.h>
#include <dispatch/GrantLedger.h>

#include <map>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Returns the printed form of a server's incarnation, "id@born".
std::string incarnationOf(const base::ServerId& id, std::int64_t born);

// What a coordinator knows of the server processes that may hold keys: their addresses, the grants
// sent to them, and whether they answer. Incarnations are named by incarnationOf().
class ServerIncarnations
{
public:
  explicit ServerIncarnations(const CoordinatorSettings& settings);

  // A server is registered with these data.
  void onRegistered(const BackendServer& server);
  // A server that is no longer registered may still run.
  void addFormer(const BackendServer& server);

  // Returns the server as last registered; null if it isn't known.
  const BackendServer* find(const std::string& incarnation) const;

  // Returns the ledger of the grants that this VM has sent; the latter null if there were none.
  GrantLedger& grantsTo(const std::string& incarnation);
  const GrantLedger* findGrants(const std::string& incarnation) const;
  // Returns the time at which all unanswered grants to all incarnations have expired, if `now` is
  // the last moment at which a call is sent. `openCallExpiresAt` holds for calls that are open.
  base::TimePoint unansweredGrantsExpireAt(base::TimePoint openCallExpiresAt) const;

  // Another server answers at the address, so that no process holds keys by grants sent there.
  void onEnded(const std::string& incarnation);
  bool hasEnded(const std::string& incarnation) const;

  void onCallAnswered(const std::string& incarnation);
  void onCallUnanswered(const std::string& incarnation, base::TimePoint now);
  // Returns whether it has answered no call for long.
  bool isLost(const std::string& incarnation, base::TimePoint now) const;
  // Returns the registered servers among the lost ones that are to be probed now.
  std::vector<BackendServer> takeDueProbes(
    const std::map<base::ServerId, BackendServer>& registered,
    base::TimePoint now);

private:
  struct Incarnation
  {
    BackendServer server;
    GrantLedger grants;
    // Start of the first of the unanswered calls; the clock's epoch if the last call was answered.
    base::TimePoint unansweredSince{};
    base::TimePoint nextProbeAt{};
    unsigned unansweredCalls = 0;
    bool hasEnded = false;
  };

  CoordinatorSettings settings_;
  std::map<std::string, Incarnation> incarnations_;
};

} // namespace sycamore::dispatch
