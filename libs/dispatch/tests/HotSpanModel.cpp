#include "HotSpanModel.h"

#include <algorithm>

namespace sycamore::dispatch {

namespace {

using base::milliseconds;

constexpr unsigned kServers = 234;
constexpr unsigned kVms = 70;
constexpr unsigned kSlots = 6;
constexpr std::size_t kMaxQueue = 24;
constexpr double kWorkSeconds = 0.37;
// Part of the hot requests that may be beyond what the keys' owners can run.
constexpr double kToleratedExcess = 0.1;
constexpr base::Duration kStep = milliseconds(10);
constexpr unsigned kStepsPerTick = 5;
constexpr base::Duration kTargetLatency = milliseconds(1500);
constexpr base::Duration kResendDelay = milliseconds(50);
constexpr base::Duration kReportInterval = milliseconds(500);
constexpr base::Duration kHotReportInterval = milliseconds(100);

} // namespace

HotSpanModel::HotSpanModel()
  : holders_(kLastKey + 1U, base::ServerId(""))
  , vms_(kVms)
{
  std::map<base::ServerId, BackendServer> registered;
  for (unsigned i = 0; i < kServers; ++i) {
    const base::ServerId id("s" + std::to_string(i));
    servers_[id];
    registered[id] = {
      id, 1, service_, "10.0.0.1:" + std::to_string(i), base::DomainId("a"), kSlots, false, {}
    };
  }
  for (unsigned i = 0; i < kVms; ++i) {
    vms_[i].nextReportAt = clock_.now() + kReportInterval * i / kVms;
  }
  CoordinatorSettings settings;
  settings.placement.assumedWork = milliseconds(370);
  coordinator_ =
    std::make_unique<KeyCoordinator>(settings, OwnershipRecord(), clock_.now(), clock_.now());
  coordinator_->setServices({ { service_, { 550, 4, true } } });
  coordinator_->setServers(registered, clock_.now());
}

void HotSpanModel::play(base::Duration time,
                        double background,
                        double hot,
                        KeyNumber first,
                        unsigned count)
{
  const base::TimePoint beganAt = clock_.now();
  base::Duration spreadAfter = time;
  const double perStep = std::chrono::duration<double>(kStep).count();
  std::poisson_distribution<unsigned> backgroundArrivals(background * perStep);
  std::poisson_distribution<unsigned> hotArrivals(std::max(hot * perStep, 1e-9));
  while (clock_.now() < beganAt + time) {
    for (unsigned i = backgroundArrivals(random_); i > 0; --i) {
      arrive(static_cast<KeyNumber>(random_() % (kLastKey + 1U)));
    }
    for (unsigned i = hotArrivals(random_); i > 0; --i) {
      arrive(static_cast<KeyNumber>(first + random_() % count));
    }
    step();
    if (hot > 0 && spreadAfter == time && isSpread(background, hot, first, count)) {
      spreadAfter = clock_.now() - beganAt;
    }
  }
  if (hot > 0) {
    outcome_.longestSpread = std::max(outcome_.longestSpread, spreadAfter);
    outcome_.totalSpread += spreadAfter;
  }
}

void HotSpanModel::step()
{
  clock_.advance(kStep);
  std::vector<Request> due = std::exchange(waiting_, {});
  for (const Request& request : due) {
    send(request);
  }
  for (auto& [id, server] : servers_) {
    work(server);
  }
  for (Vm& vm : vms_) {
    report(vm);
  }
  const auto answered = std::ranges::partition(
    releases_, [&](const PendingRelease& release) { return release.answerAt > clock_.now(); });
  for (const PendingRelease& release : answered) {
    coordinator_->onReleaseAnswered(
      release.order, { ReleaseAnswer::Kind::Released, HandoverToken("token") }, clock_.now());
  }
  releases_.erase(answered.begin(), answered.end());
  if (++steps_ % kStepsPerTick == 0) {
    tickCoordinator();
  }
}

void HotSpanModel::arrive(KeyNumber key)
{
  ++outcome_.requests;
  vms_[random_() % kVms].report.add(key);
  send({ key, clock_.now(), clock_.now() });
}

// Sends a request to the owner that the record names. One that doesn't hold the key refuses it, and
// one whose queue is full drops it.
void HotSpanModel::send(Request request)
{
  if (clock_.now() < request.sendAt) {
    waiting_.push_back(request);
    return;
  }
  const KeyRange* const range = findRange(record_, request.key);
  if (range == nullptr || holders_[request.key] != range->owner) {
    request.sendAt = clock_.now() + kResendDelay;
    if (clock_.now() < request.arrivedAt + kTargetLatency) {
      waiting_.push_back(request);
    }
    return;
  }
  std::deque<Request>& queue = servers_.at(range->owner).queue;
  if (queue.size() < kMaxQueue) {
    queue.push_back(request);
  }
}

void HotSpanModel::work(Server& server)
{
  std::erase_if(server.running,
                [&](const Running& running) { return running.endsAt <= clock_.now(); });
  std::uniform_real_distribution<double> variation(0.7, 1.3);
  while (server.running.size() < kSlots && !server.queue.empty()) {
    const Request request = server.queue.front();
    server.queue.pop_front();
    const base::TimePoint endsAt =
      clock_.now() + milliseconds(static_cast<int>(1000 * kWorkSeconds * variation(random_)));
    server.running.push_back({ request.key, endsAt });
    outcome_.inTime += endsAt <= request.arrivedAt + kTargetLatency ? 1 : 0;
  }
}

void HotSpanModel::report(Vm& vm)
{
  const bool isHot = clock_.now() >= vm.nextHotReportAt && vm.report.hasHotSpan();
  if (clock_.now() < vm.nextReportAt && !isHot) {
    return;
  }
  coordinator_->planner().recordKeys(service_, vm.report, clock_.now());
  vm.report = {};
  vm.nextReportAt = clock_.now() + kReportInterval;
  vm.nextHotReportAt = clock_.now() + kHotReportInterval;
}

void HotSpanModel::tickCoordinator()
{
  coordinator_->onCoordinatorConfirmed(clock_.now());
  const CoordinatorActions actions = coordinator_->tick(clock_.now());
  for (const GrantOrder& order : actions.grants) {
    ++outcome_.grants;
    std::fill(holders_.begin() + order.from, holders_.begin() + order.to + 1, order.server.id);
    coordinator_->onGrantAnswered(order, GrantAnswer::Accepted, clock_.now());
  }
  for (const ReleaseOrder& order : actions.releases) {
    release(order);
  }
  outcome_.ownerChanges += actions.ownerChanges.size();
  if (actions.mustWriteRecord) {
    ++outcome_.writes;
    record_ = coordinator_->record().services.at(service_);
    coordinator_->onRecordWritten(clock_.now());
  }
  outcome_.mostRanges = std::max(outcome_.mostRanges, coordinator_->managedRanges());
}

// Requests in the queue for released keys are refused; those in slots end first.
void HotSpanModel::release(const ReleaseOrder& order)
{
  ++outcome_.releases;
  const auto isReleased = [&](KeyNumber key) { return order.from <= key && key <= order.to; };
  std::fill(holders_.begin() + order.from, holders_.begin() + order.to + 1, base::ServerId(""));
  Server& server = servers_.at(order.server.id);
  base::TimePoint answerAt = clock_.now() + kStep;
  for (const Running& running : server.running) {
    answerAt = isReleased(running.key) ? std::max(answerAt, running.endsAt) : answerAt;
  }
  releases_.push_back({ order, answerAt });
  std::erase_if(server.queue, [&](Request request) {
    request.sendAt = clock_.now() + kResendDelay;
    if (isReleased(request.key)) {
      waiting_.push_back(request);
    }
    return isReleased(request.key);
  });
}

bool HotSpanModel::isSpread(double background, double hot, KeyNumber first, unsigned count) const
{
  std::map<base::ServerId, double> rates;
  for (unsigned key = first; key < first + count; ++key) {
    rates[holders_[key]] += hot / count;
  }
  double excess = 0;
  for (const auto& [server, rate] : rates) {
    const double room = server.value().empty() ? 0 : kSlots / kWorkSeconds - background / kServers;
    excess += std::max(0.0, rate - room);
  }
  return excess <= kToleratedExcess * hot;
}

} // namespace sycamore::dispatch
