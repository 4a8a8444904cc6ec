#include "PermitModel.h"

#include <algorithm>
#include <chrono>

namespace sycamore::dispatch {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kWindow = std::chrono::seconds(4);
// Delay between two looks for a permit.
constexpr base::Duration kPollDelay = milliseconds(4);
const ServerIncarnation kServer{ base::ServerId("s"), 1 };

base::Duration toDuration(double seconds)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

PermitModel::PermitModel(std::uint64_t seed, PermitConditions conditions)
  : random_(seed)
  , conditions_(std::move(conditions))
{
  for (std::size_t i = 0; i < conditions_.vms; ++i) {
    vms_.push_back(std::make_shared<RequestPermits>(real()));
    vms_.back()->onAnswer(RequestLimit{ conditions_.perSecond }, now(), now());
    for (const PermitDemand& demand : conditions_.demands) {
      scheduleRequest(i, demand);
    }
  }
}

void PermitModel::run(base::Duration duration)
{
  const base::TimePoint end = now() + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    clock_.set(event.at);
    event.run();
  }
  clock_.set(end);
}

void PermitModel::takeOver()
{
  ++issuer_;
  begunAt_ = now();
  issuers_[issuer_ % issuers_.size()] = {};
}

std::size_t PermitModel::mostInWindow() const
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals_.size(); ++last) {
    while (arrivals_[last] - arrivals_[first] > kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

std::size_t PermitModel::allowed() const
{
  const double seconds = std::chrono::duration<double>(kWindow).count();
  return static_cast<std::size_t>(1.5 * conditions_.perSecond * seconds + 5);
}

double PermitModel::servedShare(unsigned priority) const
{
  const Counts& counts = counts_.at(priority);
  return static_cast<double>(counts.served) / static_cast<double>(counts.requests);
}

std::size_t PermitModel::served(unsigned priority) const
{
  return counts_.at(priority).served;
}

void PermitModel::schedule(base::Duration delay, std::function<void()> run)
{
  events_.push({ now() + delay, std::move(run) });
}

void PermitModel::scheduleRequest(std::size_t vm, const PermitDemand& demand)
{
  if (demand.perSecond <= 0) {
    return;
  }
  const double rate = demand.perSecond / static_cast<double>(conditions_.vms);
  const double seconds = std::exponential_distribution<double>(rate)(random_);
  schedule(toDuration(seconds), [this, vm, demand] {
    ++counts_[demand.priority].requests;
    send({ vm, demand.priority, now() + conditions_.patience, nullptr });
    scheduleRequest(vm, demand);
  });
}

void PermitModel::send(Request request)
{
  const PermitDecision decision =
    vms_[request.vm]->tryTake({ request.priority, request.latestSendAt }, conditions_.vms, now());
  if (decision == PermitDecision::Send) {
    arrivals_.push_back(now());
    ++counts_[request.priority].served;
    return;
  }
  if (decision == PermitDecision::Refuse) {
    return;
  }
  if (decision == PermitDecision::Ask) {
    ask(request.vm, request.priority);
  }
  if (now() < request.latestSendAt) {
    request.wait = std::make_shared<PermitWait>(vms_[request.vm], request.priority);
    schedule(kPollDelay, [this, request] { send(request); });
  }
}

base::Duration PermitModel::messageDelay()
{
  // One message of twenty is late.
  const double most = conditions_.lossShare > 0 && real() < 0.05 ? 0.4 : 0.003;
  return toDuration(0.0002 + real() * most);
}

void PermitModel::ask(std::size_t vm, unsigned priority)
{
  // After a takeover, some VMs still ask the previous issuer.
  const bool knowsNew = now() >= begunAt_ + milliseconds(300) * real();
  const std::size_t issuer = knowsNew || issuer_ == 0 ? issuer_ : issuer_ - 1;
  const PermitQuestion question{ { kServer, { conditions_.perSecond } },
                                 vms_[vm]->wanted(),
                                 priority };
  if (isLost(vm)) {
    return;
  }
  schedule(messageDelay(), [this, vm, issuer, question] { answer(vm, issuer, question); });
}

void PermitModel::answer(std::size_t vm, std::size_t issuer, const PermitQuestion& question)
{
  const base::Duration age = now() - begunAt_;
  const bool isSole =
    issuer == issuer_ ? issuer_ == 0 || age >= milliseconds(1500) : age < milliseconds(900);
  const PermitGrant grant = issuers_[issuer % issuers_.size()].request(question, isSole, now());
  if (!isLost(vm)) {
    schedule(messageDelay(), [this, vm, grant] { vms_[vm]->onGrant(grant, now()); });
  }
}

} // namespace sycamore::dispatch
