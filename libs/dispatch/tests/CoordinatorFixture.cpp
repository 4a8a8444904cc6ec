#include "CoordinatorFixture.h"

#include <doctest/doctest.h>

namespace sycamore::dispatch {

namespace {

constexpr base::Duration kStep = base::milliseconds(50);

bool overlap(const KeyNumber from, const KeyNumber to, const KeyNumber a, const KeyNumber b)
{
  return from <= b && a <= to;
}

} // namespace

CoordinatorFixture::CoordinatorFixture(unsigned servers)
{
  for (unsigned i = 0; i < servers; ++i) {
    addServer();
  }
  coordinator_ = std::make_unique<KeyCoordinator>(settings_, stored_, clock_.now(), clock_.now());
  coordinator_->setServices({ { service_, { 120, 10, true } } });
  publishServers();
}

void CoordinatorFixture::step()
{
  clock_.advance(kStep);
  if (storeReachable_) {
    coordinator_->onCoordinatorConfirmed(clock_.now());
  }
  const CoordinatorActions actions = coordinator_->tick(clock_.now());
  for (const GrantOrder& order : actions.grants) {
    grant(order);
  }
  for (const ReleaseOrder& order : actions.releases) {
    release(order);
  }
  writePending_ = writePending_ || actions.mustWriteRecord;
  if (writePending_ && storeReachable_) {
    writePending_ = false;
    stored_ = coordinator_->record();
    coordinator_->onRecordWritten(clock_.now());
  }
}

void CoordinatorFixture::run(base::Duration time)
{
  const base::TimePoint end = clock_.now() + time;
  while (clock_.now() < end) {
    step();
  }
}

base::ServerId CoordinatorFixture::holder(KeyNumber key) const
{
  for (const auto& [id, server] : servers_) {
    for (const Held& held : server.held) {
      if (held.from <= key && key <= held.to && clock_.now() < held.until) {
        return id;
      }
    }
  }
  return base::ServerId("");
}

void CoordinatorFixture::checkSingleHolder() const
{
  const std::vector<const Server*> servers = allServers();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      for (const Held& heldA : servers[i]->held) {
        for (const Held& heldB : servers[j]->held) {
          const bool both = clock_.now() < heldA.until && clock_.now() < heldB.until &&
                            overlap(heldA.from, heldA.to, heldB.from, heldB.to);
          REQUIRE_FALSE(both);
        }
      }
    }
  }
}

void CoordinatorFixture::disconnect(const base::ServerId& server)
{
  servers_.at(server).reachable = false;
}

void CoordinatorFixture::drain(const base::ServerId& server)
{
  servers_.at(server).registration.draining = true;
  publishServers();
}

void CoordinatorFixture::restart(const base::ServerId& server)
{
  restartUnnoticed(server);
  publishServers();
}

void CoordinatorFixture::restartUnnoticed(const base::ServerId& server)
{
  servers_.at(server).held.clear();
  servers_.at(server).registration.born = nextBorn_++;
}

void CoordinatorFixture::restartElsewhere(const base::ServerId& server)
{
  earlierLives_.push_back(servers_.at(server));
  servers_.at(server).registration.address = newAddress();
  restart(server);
}

void CoordinatorFixture::publishFormerServers()
{
  std::vector<BackendServer> former;
  for (const Server& earlier : earlierLives_) {
    former.push_back(earlier.registration);
  }
  coordinator_->addFormerServers(former);
}

void CoordinatorFixture::replaceAtAddress(const base::ServerId& server)
{
  servers_.at(server).held.clear();
  replaced_.insert(server);
}

base::ServerId CoordinatorFixture::addServer()
{
  const base::ServerId id("s" + std::to_string(nextServer_++));
  Server server;
  server.registration = {
    id, nextBorn_++, service_, newAddress(), base::DomainId("a"), 2, false, {}
  };
  servers_[id] = server;
  if (coordinator_) {
    publishServers();
  }
  return id;
}

std::string CoordinatorFixture::newAddress()
{
  return "10.0.0.1:" + std::to_string(nextAddress_++);
}

void CoordinatorFixture::loseAnswers(const base::ServerId& server, bool lose)
{
  servers_.at(server).losesAnswers = lose;
}

void CoordinatorFixture::replaceCoordinator(base::Duration previousGrantTime)
{
  writePending_ = false;
  coordinator_ = std::make_unique<KeyCoordinator>(
    settings_, stored_, clock_.now() + previousGrantTime, clock_.now());
  coordinator_->setServices({ { service_, { 120, 10, true } } });
  publishServers();
}

void CoordinatorFixture::recordEvenLoad(unsigned requests)
{
  KeyCounts counts;
  for (unsigned i = 0; i < requests; ++i) {
    // A step that is coprime to the number of buckets visits all buckets in turn.
    nextBucket_ = (nextBucket_ + 1237) % kKeyBuckets;
    ++counts[static_cast<std::uint16_t>(nextBucket_)];
  }
  coordinator_->planner().recordKeys(service_, KeyReport(counts), clock_.now());
}

void CoordinatorFixture::recordLoad(KeyNumber from, KeyNumber to, unsigned each)
{
  KeyCounts counts;
  for (unsigned bucket = from / kKeysPerBucket; bucket <= to / kKeysPerBucket; ++bucket) {
    counts[static_cast<std::uint16_t>(bucket)] = each;
  }
  coordinator_->planner().recordKeys(service_, KeyReport(counts), clock_.now());
}

void CoordinatorFixture::grant(const GrantOrder& order)
{
  ++grantsSent_;
  lastGrant_ = order;
  Server* server = serverOf(order.server);
  if (server == nullptr || !server->reachable) {
    coordinator_->onGrantAnswered(order, GrantAnswer::NotSent, clock_.now());
    return;
  }
  if (server->holdsCallsOpen) {
    openCalls_.push_back(order);
    return;
  }
  if (replaced_.contains(order.server.id)) {
    coordinator_->onServerProcessEnded(order.server);
    coordinator_->onGrantAnswered(order, GrantAnswer::OtherServer, clock_.now());
    return;
  }
  for (const Held& held : server->held) {
    if (overlap(held.from, held.to, order.from, order.to) && held.fence > order.fence) {
      coordinator_->onGrantAnswered(order, GrantAnswer::Superseded, clock_.now());
      return;
    }
  }
  handoverTokensPassed_ += order.handover.empty() ? 0 : 1;
  hold(*server, order);
  coordinator_->onGrantAnswered(order,
                                server->losesAnswers ? GrantAnswer::OutcomeUnknown
                                                     : GrantAnswer::Accepted,
                                clock_.now());
}

void CoordinatorFixture::hold(Server& server, const GrantOrder& order) const
{
  std::erase_if(server.held,
                [&](const Held& held) { return held.from >= order.from && held.to <= order.to; });
  server.held.push_back(
    { order.from, order.to, order.fence, clock_.now() + settings_.grantDuration });
}

void CoordinatorFixture::endOpenCalls()
{
  for (const GrantOrder& order : openCalls_) {
    servers_.at(order.server.id).holdsCallsOpen = false;
    hold(servers_.at(order.server.id), order);
    coordinator_->onGrantAnswered(order, GrantAnswer::OutcomeUnknown, clock_.now());
  }
  openCalls_.clear();
}

void CoordinatorFixture::release(const ReleaseOrder& order)
{
  Server* server = serverOf(order.server);
  if (server == nullptr || !server->reachable || server->losesAnswers) {
    const bool isSent = server != nullptr && server->reachable;
    coordinator_->onReleaseAnswered(
      order,
      { isSent ? ReleaseAnswer::Kind::OutcomeUnknown : ReleaseAnswer::Kind::NotSent },
      clock_.now());
    return;
  }
  if (server->holdsReleasesOpen) {
    ++openReleases_;
    return;
  }
  std::deque<Held> kept;
  for (const Held& held : server->held) {
    if (!overlap(held.from, held.to, order.from, order.to)) {
      kept.push_back(held);
      continue;
    }
    if (held.from < order.from) {
      kept.push_back({ held.from, static_cast<KeyNumber>(order.from - 1), held.fence, held.until });
    }
    if (held.to > order.to) {
      kept.push_back({ static_cast<KeyNumber>(order.to + 1), held.to, held.fence, held.until });
    }
  }
  server->held = kept;
  coordinator_->onReleaseAnswered(
    order, { ReleaseAnswer::Kind::Released, HandoverToken("token") }, clock_.now());
}

CoordinatorFixture::Server* CoordinatorFixture::serverOf(const BackendServer& registration)
{
  for (Server& earlier : earlierLives_) {
    if (earlier.registration.address == registration.address) {
      return &earlier;
    }
  }
  const auto found = servers_.find(registration.id);
  return found == servers_.end() ? nullptr : &found->second;
}

std::vector<const CoordinatorFixture::Server*> CoordinatorFixture::allServers() const
{
  std::vector<const Server*> result;
  for (const auto& [id, server] : servers_) {
    result.push_back(&server);
  }
  for (const Server& earlier : earlierLives_) {
    result.push_back(&earlier);
  }
  return result;
}

void CoordinatorFixture::publishServers()
{
  std::map<base::ServerId, BackendServer> registrations;
  for (const auto& [id, server] : servers_) {
    registrations[id] = server.registration;
  }
  coordinator_->setServers(registrations, clock_.now());
}

} // namespace sycamore::dispatch
