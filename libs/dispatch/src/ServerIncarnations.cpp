#include <dispatch/ServerIncarnations.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Interval between two probes of a lost server.
constexpr base::Duration kProbeInterval = base::milliseconds(1000);
// Number of consecutive unanswered calls from which on a server can be considered lost.
constexpr unsigned kMinUnansweredCalls = 2;

} // namespace

std::string incarnationOf(const base::ServerId& id, std::int64_t born)
{
  return id.value() + "@" + std::to_string(born);
}

ServerIncarnations::ServerIncarnations(const CoordinatorSettings& settings)
  : settings_(settings)
{
}

void ServerIncarnations::onRegistered(const BackendServer& server)
{
  incarnations_[incarnationOf(server.id, server.born)].server = server;
}

void ServerIncarnations::addFormer(const BackendServer& server)
{
  const std::string name = incarnationOf(server.id, server.born);
  if (find(name) == nullptr) {
    incarnations_[name].server = server;
  }
}

const BackendServer* ServerIncarnations::find(const std::string& incarnation) const
{
  const auto found = incarnations_.find(incarnation);
  return found == incarnations_.end() || found->second.server.id.value().empty()
           ? nullptr
           : &found->second.server;
}

GrantLedger& ServerIncarnations::grantsTo(const std::string& incarnation)
{
  return incarnations_[incarnation].grants;
}

const GrantLedger* ServerIncarnations::findGrants(const std::string& incarnation) const
{
  const auto found = incarnations_.find(incarnation);
  return found == incarnations_.end() ? nullptr : &found->second.grants;
}

base::TimePoint ServerIncarnations::unansweredGrantsExpireAt(
  base::TimePoint openCallExpiresAt) const
{
  base::TimePoint result{};
  for (const auto& [name, incarnation] : incarnations_) {
    const GrantLedger& grants = incarnation.grants;
    result = std::max(result,
                      grants.hasOpenCall(0, kLastKey) ? openCallExpiresAt
                                                      : grants.unansweredExpireAt(0, kLastKey));
  }
  return result;
}

void ServerIncarnations::onEnded(const std::string& incarnation)
{
  incarnations_[incarnation].hasEnded = true;
}

bool ServerIncarnations::hasEnded(const std::string& incarnation) const
{
  const auto found = incarnations_.find(incarnation);
  return found != incarnations_.end() && found->second.hasEnded;
}

void ServerIncarnations::onCallAnswered(const std::string& incarnation)
{
  Incarnation& answering = incarnations_[incarnation];
  answering.unansweredCalls = 0;
  answering.unansweredSince = {};
}

void ServerIncarnations::onCallUnanswered(const std::string& incarnation, base::TimePoint now)
{
  Incarnation& silent = incarnations_[incarnation];
  if (silent.unansweredCalls == 0) {
    silent.unansweredSince = now - settings_.callTimeout;
  }
  ++silent.unansweredCalls;
}

bool ServerIncarnations::isLost(const std::string& incarnation, base::TimePoint now) const
{
  const auto found = incarnations_.find(incarnation);
  return found != incarnations_.end() && found->second.unansweredCalls >= kMinUnansweredCalls &&
         now >= found->second.unansweredSince + settings_.lostTimeout;
}

std::vector<BackendServer> ServerIncarnations::takeDueProbes(
  const std::map<base::ServerId, BackendServer>& registered,
  base::TimePoint now)
{
  std::vector<BackendServer> result;
  for (auto& [name, incarnation] : incarnations_) {
    const auto present = registered.find(incarnation.server.id);
    if (isLost(name, now) && now >= incarnation.nextProbeAt && present != registered.end() &&
        present->second.born == incarnation.server.born) {
      incarnation.nextProbeAt = now + kProbeInterval;
      result.push_back(incarnation.server);
    }
  }
  return result;
}

} // namespace sycamore::dispatch
