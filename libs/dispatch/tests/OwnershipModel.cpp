#include "OwnershipModel.h"

#include <algorithm>

namespace sycamore::dispatch {

namespace {

constexpr base::Duration kStep = base::milliseconds(20);
constexpr base::Duration kDisturbedTime = std::chrono::seconds(30);
// Time for which nothing is disturbed at the end, and its last part in which all ranges must have
// had an owner at once at some moment. Planned moves go on until the end.
constexpr base::Duration kCalmTime = std::chrono::seconds(16);
constexpr base::Duration kAllOwnedWithin = std::chrono::seconds(10);
constexpr base::Duration kReleaseTimeout = base::milliseconds(1000);
constexpr unsigned kServers = 4;
constexpr std::size_t kMaxServers = 7;
// The slowest clock that a server may have.
constexpr double kSlowestClock = 0.98;

bool overlap(KeyNumber from, KeyNumber to, KeyNumber a, KeyNumber b)
{
  return from <= b && a <= to;
}

} // namespace

struct OwnershipModel::Hold
{
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  base::TimePoint until;
};

struct OwnershipModel::Work
{
  KeyNumber key = 0;
  base::TimePoint until;
};

// One life of a server.
struct OwnershipModel::Process
{
  base::ServerId id;
  std::int64_t born = 0;
  double clockRate = 1;
  bool isUp = true;
  bool isReplaced = false;
  base::TimePoint pausedUntil{};
  base::TimePoint losesAnswersUntil{};
  std::optional<base::TimePoint> startsAgainAt;
  std::vector<Hold> holds;
  std::map<std::pair<KeyNumber, KeyNumber>, std::uint64_t> seen;
  std::vector<Work> works;
};

struct OwnershipModel::GrantCall
{
  GrantOrder order;
  // Fencing token that the call carries.
  std::uint64_t fence = 0;
  base::TimePoint connectsAt;
  // Start of the process that the connection leads to.
  std::int64_t born = 0;
  bool isSent = false;
  base::TimePoint arrivesAt{};
  std::optional<base::TimePoint> arrivedAt;
  std::optional<base::TimePoint> appliesAt;
  bool isApplied = false;
  std::optional<base::TimePoint> answersAt;
  GrantAnswer answer = GrantAnswer::Accepted;
  bool isReported = false;
};

struct OwnershipModel::ReleaseCall
{
  ReleaseOrder order;
  base::TimePoint givenUpAt;
  base::TimePoint arrivesAt;
  std::int64_t born = 0;
  bool isApplied = false;
  bool isReported = false;
};

// A coordinator and its calls. A former one may go on until the store's confirmation runs out.
struct OwnershipModel::Leader
{
  std::unique_ptr<KeyCoordinator> coordinator;
  std::vector<GrantCall> grants;
  std::vector<ReleaseCall> releases;
  base::TimePoint stalledUntil{};
  std::optional<base::TimePoint> writeEndsAt;
  bool isCurrent = true;
};

OwnershipModel::OwnershipModel(std::uint64_t seed, DeliberateFault fault)
  : random_(seed)
  , fault_(fault)
{
  for (unsigned i = 0; i < kServers; ++i) {
    addServer();
  }
  auto leader = std::make_unique<Leader>();
  leader->coordinator =
    std::make_unique<KeyCoordinator>(settings_, stored_, clock_.now(), clock_.now());
  leader->coordinator->setServices({ { service_, { 120, 10, true } } });
  leaders_.push_back(std::move(leader));
}

OwnershipModel::~OwnershipModel() = default;

bool OwnershipModel::chance(double perSecond)
{
  return probably(perSecond * std::chrono::duration<double>(kStep).count());
}

bool OwnershipModel::probably(double probability)
{
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

base::Duration OwnershipModel::between(double minSeconds, double maxSeconds)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
    std::uniform_real_distribution<double>(minSeconds, maxSeconds)(random_)));
}

std::string OwnershipModel::play()
{
  const base::TimePoint calmAt = clock_.now() + kDisturbedTime;
  const base::TimePoint endsAt = calmAt + kCalmTime;
  base::TimePoint allOwnedAt{};
  while (clock_.now() < endsAt && violation_.empty()) {
    if (!isCalm_ && clock_.now() >= calmAt) {
      calmDown();
    }
    step();
    if (leaders_.back()->coordinator->unownedRanges() == 0) {
      allOwnedAt = clock_.now();
    }
  }
  if (!violation_.empty()) {
    return violation_;
  }
  const std::size_t unowned = leaders_.back()->coordinator->unownedRanges();
  return allOwnedAt + kAllOwnedWithin >= clock_.now()
           ? ""
           : std::to_string(unowned) + " ranges without an owner at the end";
}

void OwnershipModel::step()
{
  clock_.advance(kStep);
  if (!isCalm_) {
    disturb();
  }
  for (const auto& process : processes_) {
    if (process->startsAgainAt && clock_.now() >= *process->startsAgainAt) {
      Process next;
      next.id = process->id;
      next.born = nextBorn_++;
      next.clockRate = process->clockRate;
      *process = std::move(next);
      entries_[process->id].born = process->born;
    }
  }
  work();
  readStore();
  for (const auto& leader : leaders_) {
    if (clock_.now() >= leader->stalledUntil) {
      tickLeader(*leader);
    }
    for (GrantCall& call : leader->grants) {
      advanceGrant(*leader, call);
    }
    for (ReleaseCall& call : leader->releases) {
      advanceRelease(*leader, call);
    }
    std::erase_if(leader->grants, [](const GrantCall& call) {
      return call.isReported && (call.isApplied || !call.appliesAt);
    });
    std::erase_if(leader->releases, [](const ReleaseCall& call) { return call.isReported; });
  }
}

// Ends all disturbance. The entries of servers that don't come back are removed, as the platform
// does, and there is at least one sound server.
void OwnershipModel::calmDown()
{
  isCalm_ = true;
  storeCutUntil_ = {};
  for (const auto& leader : leaders_) {
    leader->stalledUntil = std::min(leader->stalledUntil, clock_.now());
  }
  for (const auto& process : processes_) {
    if (!process->isUp && !process->startsAgainAt) {
      entries_.erase(process->id);
    }
  }
  addServer();
}

void OwnershipModel::disturb()
{
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    disturbServer(*processes_[i]);
  }
  if (processes_.size() < kMaxServers && chance(0.05)) {
    addServer();
  }
  if (chance(0.1)) {
    storeCutUntil_ = clock_.now() + between(0.2, 8);
  }
  if (chance(0.15)) {
    leaders_.back()->stalledUntil = clock_.now() + between(0.05, 4);
  }
  if (chance(0.06)) {
    replaceLeader();
  }
}

void OwnershipModel::disturbServer(Process& process)
{
  if (!process.isUp) {
    return;
  }
  if (chance(0.06)) {
    process.isUp = false;
    process.holds.clear();
    process.works.clear();
    if (probably(0.7)) {
      process.startsAgainAt = clock_.now() + between(0.02, 1.5);
    } else if (probably(0.5)) {
      process.isReplaced = true;
    } else if (probably(0.5)) {
      entries_.erase(process.id);
    }
  } else if (chance(0.06)) {
    process.pausedUntil = clock_.now() + between(0.05, 3);
  } else if (chance(0.05)) {
    process.losesAnswersUntil = clock_.now() + between(0.2, 2);
  } else if (chance(0.02) && entries_.contains(process.id)) {
    entries_[process.id].draining = true;
  } else if (chance(0.02)) {
    entries_.erase(process.id);
  }
}

// Another VM takes over. The former coordinator has stopped and says so, or it is cut off and goes
// on until its confirmation runs out.
void OwnershipModel::replaceLeader()
{
  const base::TimePoint now = clock_.now();
  Leader& former = *leaders_.back();
  former.isCurrent = false;
  auto leader = std::make_unique<Leader>();
  leader->coordinator =
    std::make_unique<KeyCoordinator>(settings_, stored_, now + settings_.confirmationTimeout, now);
  leader->coordinator->setServices({ { service_, { 120, 10, true } } });
  if (probably(0.5) && now >= former.stalledUntil) {
    leader->coordinator->onPreviousCoordinatorStopped(former.coordinator->stopReport(now));
    former.coordinator = nullptr;
  }
  leaders_.push_back(std::move(leader));
}

void OwnershipModel::readStore()
{
  const base::TimePoint now = clock_.now();
  if (now < storeCutUntil_) {
    return;
  }
  Leader& leader = *leaders_.back();
  if (now >= leader.stalledUntil) {
    leader.coordinator->onCoordinatorConfirmed(now);
  }
  if (now >= nextStoreReadAt_) {
    nextStoreReadAt_ = now + between(0.05, 1.2);
    leader.coordinator->setServers(entries_, now);
  }
}

void OwnershipModel::work()
{
  for (const auto& process : processes_) {
    std::erase_if(process->works, [this](const Work& w) { return w.until <= clock_.now(); });
    if (!process->isUp || process->holds.empty() || !chance(2)) {
      continue;
    }
    const Hold& hold = process->holds[random_() % process->holds.size()];
    if (clock_.now() < hold.until) {
      // Work that outlasts the hold is ended by the server.
      const base::TimePoint until = std::min(hold.until, clock_.now() + between(0.05, 2));
      process->works.push_back({ hold.from, until });
    }
  }
}

void OwnershipModel::tickLeader(Leader& leader)
{
  const base::TimePoint now = clock_.now();
  if (!leader.coordinator) {
    return;
  }
  if (!isCalm_ && chance(1)) {
    KeyCounts counts;
    const auto busy = static_cast<std::uint16_t>(random_() % kKeyBuckets);
    for (std::uint16_t i = 0; i < 8; ++i) {
      counts[static_cast<std::uint16_t>((busy + i) % kKeyBuckets)] = 30;
    }
    leader.coordinator->recordKeyCounts(service_, counts, now);
  }
  if (leader.writeEndsAt && now >= *leader.writeEndsAt && now >= storeCutUntil_) {
    leader.writeEndsAt.reset();
    if (!leader.isCurrent) {
      leader.coordinator = nullptr;
      return;
    }
    stored_ = leader.coordinator->record();
    leader.coordinator->onRecordWritten(now);
  }
  const CoordinatorActions actions = leader.coordinator->tick(now);
  for (const GrantOrder& order : actions.grants) {
    GrantCall call;
    call.order = order;
    const bool isOutdated = fault_ == DeliberateFault::FenceNotRaised && order.fence > 2;
    call.fence = isOutdated ? order.fence - 2 : order.fence;
    call.connectsAt = now + (probably(0.9) ? kStep : between(0.02, 0.6));
    leader.grants.push_back(call);
  }
  for (const ReleaseOrder& order : actions.releases) {
    ReleaseCall call;
    call.order = order;
    call.givenUpAt = now + kReleaseTimeout;
    call.arrivesAt = now + (probably(0.9) ? kStep : between(0.02, 0.6));
    const Process* const process = processOf(order.server.id);
    call.born = process == nullptr ? 0 : process->born;
    leader.releases.push_back(call);
  }
  if (actions.mustWriteRecord) {
    leader.writeEndsAt = now + between(0.01, 0.2);
  }
}

void OwnershipModel::advanceGrant(Leader& leader, GrantCall& call)
{
  const base::TimePoint now = clock_.now();
  const bool isStalled = now < leader.stalledUntil;
  Process* const process = processOf(call.order.server.id);
  if (!call.isSent && !call.isReported && !isStalled && now >= call.connectsAt) {
    const bool reachable = process != nullptr && (process->isUp || process->isReplaced);
    if (!leader.coordinator || !reachable || !leader.coordinator->maySend(call.order, now)) {
      reportGrant(leader, call, GrantAnswer::NotSent);
      return;
    }
    call.isSent = true;
    call.born = process->born;
    call.arrivesAt = now + (probably(0.9) ? kStep : between(0.02, 4));
  }
  const bool isConnected = process != nullptr && process->born == call.born;
  if (call.isSent && !call.isReported && !call.arrivedAt && now >= call.arrivesAt && isConnected) {
    onGrantArrived(call, *process);
  }
  if (call.appliesAt && !call.isApplied && now >= *call.appliesAt) {
    call.isApplied = true;
    if (isConnected && process->isUp) {
      applyGrant(*process, call);
    }
  }
  if (call.isReported || isStalled) {
    return;
  }
  if (call.answersAt && now >= *call.answersAt && isConnected) {
    reportGrant(leader, call, call.answer);
  } else if (now >= call.order.sendBy || (call.isSent && !isConnected)) {
    reportGrant(leader, call, call.isSent ? GrantAnswer::OutcomeUnknown : GrantAnswer::NotSent);
  }
}

void OwnershipModel::onGrantArrived(GrantCall& call, Process& process)
{
  const base::TimePoint now = clock_.now();
  call.arrivedAt = now;
  if (process.isReplaced) {
    call.answer = GrantAnswer::OtherServer;
    call.answersAt = now + kStep;
    return;
  }
  if (!process.isUp) {
    return;
  }
  const bool isSuperseded = std::ranges::any_of(process.seen, [&](const auto& seen) {
    return seen.second > call.fence &&
           overlap(seen.first.first, seen.first.second, call.order.from, call.order.to);
  });
  if (isSuperseded) {
    call.answer = GrantAnswer::Superseded;
    call.answersAt = now + kStep;
    return;
  }
  // A grant without an answer may be carried out seconds later; its time counts from its arrival.
  const bool isLate = !isCalm_ && probably(0.02);
  const base::TimePoint readAt = std::max(now, process.pausedUntil);
  call.appliesAt = isLate ? readAt + between(0.05, 2.5) : readAt;
  if (!isLate && now >= process.losesAnswersUntil) {
    call.answersAt = readAt + kStep;
  }
}

void OwnershipModel::applyGrant(Process& process, const GrantCall& call)
{
  const GrantOrder& order = call.order;
  const base::TimePoint now = clock_.now();
  const base::TimePoint until = *call.arrivedAt + std::chrono::duration_cast<base::Duration>(
                                                    settings_.grantDuration / process.clockRate);
  if (until <= now) {
    return;
  }
  const std::uint64_t fence = call.fence;
  for (const auto& other : processes_) {
    if (other->id == process.id) {
      continue;
    }
    for (const Hold& hold : other->holds) {
      if (now < hold.until && overlap(hold.from, hold.to, order.from, order.to)) {
        violate(process.id.value() + " takes keys from " + std::to_string(order.from) +
                " with fencing token " + std::to_string(fence) + " while " + other->id.value() +
                " holds them with " + std::to_string(hold.fence));
      }
    }
    for (const Work& atWork : other->works) {
      if (now < atWork.until && order.from <= atWork.key && atWork.key <= order.to) {
        violate(process.id.value() + " takes key " + std::to_string(atWork.key) + " while " +
                other->id.value() + " is at work on it");
      }
    }
    for (const auto& [keys, had] : fences_[other->id]) {
      if (had >= fence && overlap(keys.first, keys.second, order.from, order.to)) {
        violate(process.id.value() + " takes keys with fencing token " + std::to_string(fence) +
                ", " + other->id.value() + " had them with " + std::to_string(had));
      }
    }
  }
  std::erase_if(process.holds, [&](const Hold& hold) {
    return hold.until <= now || (hold.from >= order.from && hold.to <= order.to);
  });
  process.holds.push_back({ order.from, order.to, fence, until });
  const std::pair keys{ order.from, order.to };
  process.seen[keys] = std::max(process.seen[keys], fence);
  fences_[process.id][keys] = std::max(fences_[process.id][keys], fence);
}

void OwnershipModel::reportGrant(Leader& leader, GrantCall& call, GrantAnswer answer)
{
  call.isReported = true;
  if (!leader.coordinator) {
    return;
  }
  if (answer == GrantAnswer::OtherServer) {
    leader.coordinator->onServerProcessEnded(call.order.server);
  }
  if (fault_ == DeliberateFault::UnansweredGrantsForgotten &&
      answer == GrantAnswer::OutcomeUnknown) {
    answer = GrantAnswer::NotSent;
  }
  leader.coordinator->onGrantAnswered(call.order, answer, clock_.now());
}

void OwnershipModel::advanceRelease(Leader& leader, ReleaseCall& call)
{
  const base::TimePoint now = clock_.now();
  Process* const process = processOf(call.order.server.id);
  const bool isConnected =
    process != nullptr && process->born == call.born && (process->isUp || process->isReplaced);
  const bool isServed = isConnected && now >= call.arrivesAt && now >= process->pausedUntil;
  if (isServed && !call.isApplied && !process->isReplaced) {
    call.isApplied = true;
    applyRelease(*process, call.order);
  }
  if (now < leader.stalledUntil || !leader.coordinator) {
    call.isReported = !leader.coordinator;
    return;
  }
  ReleaseAnswer answer;
  if (!isConnected) {
    answer.kind =
      call.isApplied ? ReleaseAnswer::Kind::OutcomeUnknown : ReleaseAnswer::Kind::NotSent;
  } else if (process->isReplaced && now >= call.arrivesAt) {
    answer.kind = ReleaseAnswer::Kind::OtherServer;
    leader.coordinator->onServerProcessEnded(call.order.server);
  } else {
    const bool isAtWork = std::ranges::any_of(process->works, [&](const Work& w) {
      return now < w.until && call.order.from <= w.key && w.key <= call.order.to;
    });
    const bool mayAnswer = !isAtWork || fault_ == DeliberateFault::ReleaseAnsweredEarly;
    if (call.isApplied && mayAnswer && now >= process->losesAnswersUntil) {
      answer = { ReleaseAnswer::Kind::Released, "token" };
    } else if (now < call.givenUpAt) {
      return;
    }
  }
  call.isReported = true;
  leader.coordinator->onReleaseAnswered(call.order, answer, now);
}

void OwnershipModel::applyRelease(Process& process, const ReleaseOrder& order)
{
  std::vector<Hold> kept;
  for (const Hold& hold : process.holds) {
    if (hold.fence > order.fence || !overlap(hold.from, hold.to, order.from, order.to)) {
      kept.push_back(hold);
      continue;
    }
    if (hold.from < order.from) {
      kept.push_back({ hold.from, static_cast<KeyNumber>(order.from - 1), hold.fence, hold.until });
    }
    if (hold.to > order.to) {
      kept.push_back({ static_cast<KeyNumber>(order.to + 1), hold.to, hold.fence, hold.until });
    }
  }
  process.holds = std::move(kept);
  const std::pair keys{ order.from, order.to };
  process.seen[keys] = std::max(process.seen[keys], order.fence);
}

OwnershipModel::Process* OwnershipModel::processOf(const base::ServerId& id)
{
  const auto found =
    std::ranges::find_if(processes_, [&id](const auto& process) { return process->id == id; });
  return found == processes_.end() ? nullptr : found->get();
}

void OwnershipModel::addServer()
{
  auto process = std::make_unique<Process>();
  process->id = base::ServerId("s" + std::to_string(nextServer_++));
  process->born = nextBorn_++;
  process->clockRate = probably(0.5) ? kSlowestClock : 1;
  entries_[process->id] = {
    process->id, process->born, service_, "10.0.0.1:80", base::DomainId("a"), 2, false, {}
  };
  processes_.push_back(std::move(process));
}

void OwnershipModel::violate(const std::string& text)
{
  if (violation_.empty()) {
    const auto elapsed = clock_.now() - base::ManualClock().now();
    violation_ =
      text + " after " + std::to_string(std::chrono::duration<double>(elapsed).count()) + " s";
  }
}

} // namespace sycamore::dispatch
