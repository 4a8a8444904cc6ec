#include "StragglerFleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace sycamore::quality {

namespace {

using namespace std::chrono_literals;

constexpr auto kWarmUpDuration = 2s;
constexpr auto kMeasuredDuration = 10s;
constexpr int kSlowFactor = 10;
constexpr int kMaxTries = 4;
// One mean service time: two more hops to a free server take less time than a longer wait.
constexpr base::Duration kMaxWait = 4ms;

} // namespace

StragglerFleet::StragglerFleet(const Scenario& scenario, const StragglerSetup& setup)
  : scenario_(scenario)
  , setup_(setup)
  , random_(setup.seed)
  , vms_(static_cast<std::size_t>(scenario.entryVms))
  , servers_(static_cast<std::size_t>(setup.servers))
{
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    ids_.emplace_back(std::to_string(i));
  }
  for (Server& server : servers_) {
    admission::ServerGateSettings settings;
    settings.slots = scenario.slots;
    settings.queue.maxLength = 1000;
    server.gate = std::make_unique<admission::ServerGate>(settings, loop_.now());
    server.gate->onServerReport(
      { base::Incarnation(1), admission::ReportedState::Warm, loop_.now() }, loop_.now());
  }
  for (EntryVm& vm : vms_) {
    vm.inFlight.resize(servers_.size());
    vm.nextServer = random_() % servers_.size();
    for (const base::ServerId& id : ids_) {
      vm.picker.add(id);
    }
  }
}

std::vector<double> StragglerFleet::run()
{
  end_ = loop_.now() + kWarmUpDuration + kMeasuredDuration;
  arrive();
  changeStragglers();
  loop_.runUntil(end_ + 1s);
  return std::move(latencies_);
}

void StragglerFleet::arrive()
{
  if (loop_.now() >= end_) {
    return;
  }
  const double capacity = setup_.servers * scenario_.slots /
                          std::chrono::duration<double>(scenario_.meanServiceTime).count();
  auto request = std::make_shared<Request>();
  request->vm = random_() % vms_.size();
  request->sentAt = loop_.now();
  request->firstServer = choose(vms_[request->vm], nullptr);
  send(request, request->firstServer, 1);
  if (setup_.policy == Policy::HedgedPicker) {
    scheduleHedge(request);
  }
  loop_.after(drawInterarrivalTime(setup_.load * capacity, random_), [this] { arrive(); });
}

void StragglerFleet::changeStragglers()
{
  std::vector<std::size_t> stragglers(servers_.size());
  std::iota(stragglers.begin(), stragglers.end(), 0);
  std::shuffle(stragglers.begin(), stragglers.end(), random_);
  stragglers.resize(static_cast<std::size_t>(
    setup_.slowShare > 0 ? std::max(1.0, std::round(setup_.slowShare * setup_.servers)) : 0.0));
  for (const std::size_t server : stragglers) {
    servers_[server].isSlow = true;
  }
  loop_.after(500ms, [this, stragglers] {
    for (const std::size_t server : stragglers) {
      servers_[server].isSlow = false;
    }
  });
  loop_.after(1s, [this] { changeStragglers(); });
}

std::size_t StragglerFleet::choose(EntryVm& vm, const std::size_t* excluded)
{
  if (setup_.policy == Policy::RoundRobin) {
    return vm.nextServer++ % servers_.size();
  }
  if (setup_.policy == Policy::LeastConnections) {
    return leastConnections(vm);
  }
  const base::ServerId* const excludedId = excluded != nullptr ? &ids_[*excluded] : nullptr;
  return std::stoul(vm.picker.pick(loop_.now(), random_, excludedId)->value());
}

std::size_t StragglerFleet::leastConnections(const EntryVm& vm)
{
  const std::size_t offset = random_() % servers_.size();
  std::size_t best = offset;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::size_t server = (i + offset) % servers_.size();
    best = vm.inFlight[server] < vm.inFlight[best] ? server : best;
  }
  return best;
}

void StragglerFleet::send(const RequestPtr& request, std::size_t server, int tryNumber)
{
  const Attempt attempt{ request, admission::WorkId(++nextWork_), server, tryNumber };
  EntryVm& vm = vms_[request->vm];
  ++vm.inFlight[server];
  vm.picker.onSent(ids_[server], attempt.work, loop_.now());
  loop_.after(scenario_.hop, [this, attempt] {
    if (usesGate()) {
      enqueue(attempt);
    } else {
      servers_[attempt.server].queue.push_back(attempt);
      serve(attempt.server);
    }
  });
}

bool StragglerFleet::usesGate() const
{
  return setup_.policy == Policy::Picker || setup_.policy == Policy::HedgedPicker;
}

// The first three holders may refuse the request if its wait would be long; the fourth queues it
// whatever the wait.
void StragglerFleet::enqueue(const Attempt& attempt)
{
  waiting_[attempt.work] = attempt;
  const auto maxWait = attempt.tryNumber < kMaxTries ? kMaxWait : base::Duration::max();
  Server& server = servers_[attempt.server];
  apply(server.gate->enqueue(
    { attempt.work, std::to_string(attempt.request->vm), loop_.now() + 10s, 100, false, maxWait },
    loop_.now()));
}

void StragglerFleet::apply(const admission::GateActions& actions)
{
  for (const admission::GateAction& action : actions) {
    const auto found = waiting_.find(action.work);
    const Attempt attempt = found->second;
    waiting_.erase(found);
    if (action.kind == admission::GateAction::Kind::Dispatch) {
      start(attempt);
    } else {
      loop_.after(scenario_.hop,
                  [this, attempt, wait = action.retryAfter] { retryElsewhere(attempt, wait); });
    }
  }
}

void StragglerFleet::retryElsewhere(const Attempt& attempt, base::Duration wait)
{
  EntryVm& vm = vms_[attempt.request->vm];
  --vm.inFlight[attempt.server];
  vm.picker.onFinished(ids_[attempt.server], attempt.work, false, loop_.now());
  vm.picker.onOverloaded(ids_[attempt.server], wait, loop_.now());
  send(attempt.request, choose(vm, &attempt.server), attempt.tryNumber + 1);
}

void StragglerFleet::scheduleHedge(const RequestPtr& request)
{
  const auto at = vms_[request->vm].hedges.hedgeAt(true, request->sentAt, request->sentAt + 1s);
  if (!at) {
    return;
  }
  loop_.at(*at, [this, request] {
    if (!request->isDone && vms_[request->vm].hedges.tryHedge(loop_.now())) {
      send(request, choose(vms_[request->vm], &request->firstServer), 1);
    }
  });
}

// Serves the unbounded queue of a server under the baseline policies.
void StragglerFleet::serve(std::size_t index)
{
  Server& server = servers_[index];
  while (server.busy < scenario_.slots && !server.queue.empty()) {
    const Attempt attempt = server.queue.front();
    server.queue.pop_front();
    start(attempt);
  }
}

void StragglerFleet::start(const Attempt& attempt)
{
  Server& server = servers_[attempt.server];
  ++server.busy;
  const base::Duration serviceTime =
    drawServiceTime(scenario_, random_) * (server.isSlow ? kSlowFactor : 1);
  loop_.after(serviceTime, [this, attempt] {
    Server& finished = servers_[attempt.server];
    --finished.busy;
    if (usesGate()) {
      apply(finished.gate->onFinished(
        { attempt.work, { requests::Outcome::Ran, requests::Reason::None } }, loop_.now()));
    } else {
      serve(attempt.server);
    }
    loop_.after(scenario_.hop, [this, attempt] { onEnded(attempt); });
  });
}

void StragglerFleet::onEnded(const Attempt& attempt)
{
  const base::TimePoint now = loop_.now();
  EntryVm& vm = vms_[attempt.request->vm];
  --vm.inFlight[attempt.server];
  vm.picker.onFinished(ids_[attempt.server], attempt.work, true, now);
  if (attempt.request->isDone) {
    return;
  }
  attempt.request->isDone = true;
  const base::Duration latency = now - attempt.request->sentAt;
  vm.hedges.recordSuccess(latency, now);
  if (attempt.request->sentAt >= end_ - kMeasuredDuration) {
    latencies_.push_back(std::chrono::duration<double, std::milli>(latency).count());
  }
}

} // namespace sycamore::quality
