#include "OwnershipCoordinators.h"

#include "OwnershipTerm.h"

#include <algorithm>
#include <utility>

namespace sycamore::dispatch {

namespace {

// Time after which a write to the store counts as unanswered and is sent again.
constexpr base::Duration kStoreTimeout = base::milliseconds(1200);

bool isSameRecord(const OwnershipRecord& a, const OwnershipRecord& b)
{
  return a.epoch == b.epoch && a.coordinator == b.coordinator && a.services == b.services;
}

} // namespace

OwnershipCoordinators::OwnershipCoordinators(OwnershipPlay& play,
                                             OwnershipServers& servers,
                                             const CoordinatorSettings& settings)
  : play_(play)
  , servers_(servers)
  , settings_(settings)
{
  takeOver(newProcess("v0"), End::GoesOn, base::Duration::zero());
}

OwnershipCoordinators::~OwnershipCoordinators() = default;

std::optional<std::size_t> OwnershipCoordinators::unownedRanges() const
{
  const Term& latest = terms_.back();
  return latest.coordinator ? std::optional(latest.coordinator->unownedRanges()) : std::nullopt;
}

Coordinator OwnershipCoordinators::newProcess(const std::string& vm)
{
  const std::uint64_t run = nextRun_++;
  return { base::VmId(vm), run, "10.0.1." + std::to_string(run) };
}

Coordinator OwnershipCoordinators::otherVm()
{
  return newProcess("v" + std::to_string(nextRun_));
}

bool OwnershipCoordinators::isActive(const Coordinator& process) const
{
  return std::ranges::any_of(terms_, [&](const Term& term) {
    return term.self == process && (term.coordinator != nullptr || !term.hasBegun);
  });
}

// Returns whether a coordinator has ended when a process takes over, as CoordinatorRole decides it.
bool OwnershipCoordinators::isEarlierProcess(const Coordinator& previous,
                                             const Coordinator& self) const
{
  return previous.vm == self.vm && (previous.address == self.address ||
                                    play_.fault == DeliberateFault::VmNameTakenForProcess);
}

Takeover OwnershipCoordinators::planned(const Coordinator& self) const
{
  const OwnershipRecord& stored = store_.record();
  Takeover takeover =
    planTakeover(stored, store_.era(), 0, self, isEarlierProcess(stored.coordinator, self));
  if (play_.fault == DeliberateFault::RestoredRecordTrusted) {
    takeover.record.services = stored.services;
    takeover.record.mayLackOwners = false;
  }
  if (play_.fault == DeliberateFault::TermsShareEpoch && stored.coordinator == self) {
    takeover.record.epoch = stored.epoch;
    takeover.record.previousCoordinatorsStopped = false;
    takeover.haveOthersStopped = false;
  }
  return takeover;
}

// Another process writes itself into the record. The answer is handled after `handledAfter`.
void OwnershipCoordinators::takeOver(const Coordinator& self, End end, base::Duration handledAfter)
{
  const base::TimePoint now = play_.clock.now();
  const Takeover takeover = planned(self);
  store_.write(store_.revision(), takeover.record);
  Term* const former = terms_.empty() ? nullptr : &terms_.back();
  Term& term = addTerm(takeover.record, now + handledAfter);
  if (handledAfter > base::Duration::zero() && play_.extra.probably(0.6)) {
    term.storeCutUntil = term.beginsAt + play_.extra.between(1, 8);
  }
  if (handledAfter == base::Duration::zero()) {
    begin(term);
  }
  if (former != nullptr) {
    endTerm(*former, end, self);
  }
}

// The write of a takeover gets no answer and takes effect late.
void OwnershipCoordinators::takeOverLate(const Coordinator& self)
{
  const base::TimePoint now = play_.clock.now();
  store_.writeLate(now + play_.extra.between(1, 6), store_.revision(), planned(self).record);
  lateTakeovers_.push_back({ self, now + kStoreTimeout + play_.extra.between(0, 6) });
}

void OwnershipCoordinators::noticeRestoration()
{
  const base::TimePoint now = play_.clock.now();
  std::vector<Term*> noticing;
  for (Term& term : terms_) {
    const bool isReached =
      now >= storeCutUntil_ && now >= term.storeCutUntil && now >= term.stalledUntil;
    const bool isOutdated =
      term.era != store_.era() ||
      (&term == &terms_.back() && isFromBeforeRestoration(store_.record(), store_.era()));
    if (term.coordinator && isReached && isOutdated && (play_.isCalm || play_.extra.chance(2))) {
      noticing.push_back(&term);
    }
  }
  for (Term* const term : noticing) {
    continueTerm(*term);
  }
  // Another VM notices that there is no coordinator.
  const Term& latest = terms_.back();
  if (play_.isCalm && latest.hasBegun && !latest.coordinator) {
    takeOver(otherVm(), End::GoesOn, base::Duration::zero());
  }
}

// As CoordinatorRole does, a coordinator goes on by its own record if the store had confirmed it
// recently, and if no other one has taken over since the store came back.
void OwnershipCoordinators::continueTerm(Term& term)
{
  const OwnershipRecord stored = store_.record();
  const bool isFree =
    stored.coordinator == term.self || isFromBeforeRestoration(stored, store_.era());
  const bool isConfirmed = term.coordinator->isConfirmed(play_.clock.now()) ||
                           play_.fault == DeliberateFault::ContinuedWithoutConfirmation;
  if (isFree && isConfirmed) {
    const Takeover takeover =
      planContinuation(term.coordinator->confirmedRecord(), stored, store_.era());
    store_.write(store_.revision(), takeover.record);
    begin(addTerm(takeover.record, play_.clock.now()));
  }
  term.coordinator = nullptr;
}

// The processes whose write of a takeover got no answer read the record, and take over by another
// write also if it names them.
void OwnershipCoordinators::takeUpLateTakeovers()
{
  std::erase_if(lateTakeovers_, [&](const LateTakeover& late) {
    if (play_.clock.now() < late.readAgainAt) {
      return false;
    }
    if (store_.record().coordinator == late.self || play_.extra.probably(0.5)) {
      takeOver(late.self, End::GoesOn, base::Duration::zero());
    }
    return true;
  });
}

OwnershipCoordinators::Term& OwnershipCoordinators::addTerm(const OwnershipRecord& record,
                                                            base::TimePoint beginsAt)
{
  Term term;
  term.self = record.coordinator;
  term.record = record;
  term.revision = store_.revision();
  term.era = store_.era();
  term.beginsAt = beginsAt;
  term.askedAt = play_.clock.now();
  term.haveOthersStopped = record.previousCoordinatorsStopped;
  terms_.push_back(std::move(term));
  return terms_.back();
}

void OwnershipCoordinators::begin(Term& term)
{
  const base::TimePoint now = play_.clock.now();
  const base::Duration wait = play_.fault == DeliberateFault::ShortWaitForPredecessors
                                ? std::chrono::seconds(1)
                                : settings_.confirmationTimeout;
  const bool countsFromAnswer = play_.fault == DeliberateFault::TakeoverCountedFromAnswer;
  term.hasBegun = true;
  term.coordinator = std::make_unique<KeyCoordinator>(settings_,
                                                      term.record,
                                                      term.haveOthersStopped ? now : now + wait,
                                                      countsFromAnswer ? now : term.askedAt);
  term.coordinator->setServices({ { service_, { 120, 10, true } } });
  term.coordinator->addFormerServers(servers_.former());
  if (now > term.askedAt) {
    term.coordinator->setServers(servers_.entries(), now);
  }
}

void OwnershipCoordinators::endTerm(Term& term, End end, const Coordinator& next)
{
  const base::TimePoint now = play_.clock.now();
  if (!term.coordinator || end == End::GoesOn) {
    return;
  }
  const CoordinatorStop stop = term.coordinator->stopReport(now);
  if (end != End::ReportLost) {
    const base::Duration delay =
      end == End::ReportsLate ? play_.extra.between(0.1, 4) : base::Duration::zero();
    reports_.push_back({ now + delay,
                         next,
                         term.record.epoch,
                         std::max(base::Duration::zero(), stop.previousCoordinatorsStopAt - now),
                         std::max(base::Duration::zero(), stop.unansweredGrantsExpireAt - now) });
    deliverReports();
  }
  term.coordinator = nullptr;
}

// A report counts only for the coordinator that comes next after the one that stopped.
void OwnershipCoordinators::deliverReports()
{
  const base::TimePoint now = play_.clock.now();
  std::erase_if(reports_, [&](const StopReport& report) {
    if (now < report.arrivesAt) {
      return false;
    }
    for (Term& term : terms_) {
      if (term.coordinator && term.self == report.to && term.record.epoch == report.epoch + 1) {
        term.coordinator->onPreviousCoordinatorStopped(
          { now + report.stopIn, now + report.expireIn });
      }
    }
    return true;
  });
}

void OwnershipCoordinators::calmDown()
{
  const base::TimePoint now = play_.clock.now();
  storeCutUntil_ = {};
  cutUntil_ = {};
  takeoverInCutAt_.reset();
  seriesLeft_ = 0;
  secondTermAt_.reset();
  lateTakeovers_.clear();
  store_.dropLateWrites();
  for (Term& term : terms_) {
    term.stalledUntil = std::min(term.stalledUntil, now);
    term.storeCutUntil = {};
    term.isBehindCut = false;
    term.beginsAt = std::min(term.beginsAt, now);
    term.handlingDelay = {};
  }
  // The coordinator may have ended its term, or a takeover has had an effect without an answer.
  const Term& latest = terms_.back();
  const bool hasEnded = latest.hasBegun && !latest.coordinator;
  if (hasEnded || store_.record().coordinator != latest.self) {
    takeOver(otherVm(), End::GoesOn, base::Duration::zero());
  }
}

void OwnershipCoordinators::step()
{
  const base::TimePoint now = play_.clock.now();
  store_.step(now);
  if (play_.draws(OwnershipDraw::RestoredStore)) {
    store_.keep(now);
    noticeRestoration();
  }
  takeUpLateTakeovers();
  readStore();
  deliverReports();
  for (Term& term : terms_) {
    if (now >= term.stalledUntil) {
      tick(term);
    }
    for (GrantCall& call : term.grants) {
      advance(term, call);
    }
    for (ReleaseCall& call : term.releases) {
      advance(term, call);
    }
    std::erase_if(term.grants, [](const GrantCall& call) {
      return call.isReported && !call.isUnread && (call.isApplied || !call.appliesAt);
    });
    std::erase_if(term.releases,
                  [](const ReleaseCall& call) { return call.isReported && !call.isUnread; });
  }
  terms_.remove_if([this](const Term& term) {
    return &term != &terms_.back() && term.hasBegun && !term.coordinator && term.grants.empty() &&
           term.releases.empty();
  });
}

void OwnershipCoordinators::readStore()
{
  const base::TimePoint now = play_.clock.now();
  if (now < storeCutUntil_) {
    return;
  }
  Term& term = terms_.back();
  if (!term.coordinator || now < term.storeCutUntil) {
    return;
  }
  if (now >= term.stalledUntil && store_.era() == term.era &&
      store_.record().coordinator == term.self) {
    term.confirmations.push_back(now);
    handleConfirmations(term);
  }
  if (now >= nextStoreReadAt_) {
    nextStoreReadAt_ = now + play_.basic.between(0.05, 1.2);
    term.coordinator->setServers(servers_.entries(), now);
  }
}

void OwnershipCoordinators::handleConfirmations(Term& term)
{
  std::erase_if(term.confirmations, [&](base::TimePoint askedAt) {
    const bool isHandled = play_.clock.now() >= askedAt + term.handlingDelay;
    if (isHandled) {
      term.coordinator->onCoordinatorConfirmed(askedAt);
    }
    return isHandled;
  });
}

void OwnershipCoordinators::tick(Term& term)
{
  const base::TimePoint now = play_.clock.now();
  if (!term.hasBegun && now >= term.beginsAt) {
    begin(term);
  }
  if (!term.coordinator) {
    return;
  }
  recordBusyKeys(term);
  handleConfirmations(term);
  endWrite(term);
  if (!term.coordinator) {
    return;
  }
  const CoordinatorActions actions = term.coordinator->tick(now);
  RandomDraws& draws = play_.basic;
  for (const GrantOrder& order : actions.grants) {
    GrantCall call;
    call.order = order;
    const bool isOutdated = play_.fault == DeliberateFault::FenceNotRaised && order.fence > 2;
    call.fence = isOutdated ? order.fence - 2 : order.fence;
    call.connectsAt = now + (draws.probably(0.9) ? kModelStep : draws.between(0.02, 0.6));
    call.isConnectionAnswered = !play_.draws(OwnershipDraw::LateRead) || play_.extra.probably(0.5);
    term.grants.push_back(call);
  }
  for (const ReleaseOrder& order : actions.releases) {
    ReleaseCall call;
    call.order = order;
    call.givenUpAt = now + std::chrono::seconds(1);
    call.arrivesAt = now + (draws.probably(0.9) ? kModelStep : draws.between(0.02, 0.6));
    const ModelServer* const server = servers_.at(order.server);
    call.born = server == nullptr ? 0 : server->born;
    call.getsForeignAnswer =
      play_.draws(OwnershipDraw::ForeignAnswer) && !play_.isCalm && play_.extra.probably(0.1);
    term.releases.push_back(call);
  }
  if (actions.mustWriteRecord) {
    beginWrite(term);
  }
}

void OwnershipCoordinators::recordBusyKeys(Term& term)
{
  if (play_.isCalm) {
    return;
  }
  const auto record = [&](std::size_t busy, std::uint32_t requests = 30) {
    KeyCounts counts;
    for (std::size_t i = 0; i < 8; ++i) {
      counts[static_cast<std::uint16_t>((busy + i) % kKeyBuckets)] = requests;
    }
    term.coordinator->planner().recordKeys(service_, KeyReport(counts), play_.clock.now());
  };
  if (play_.basic.chance(1)) {
    record(play_.basic.below(kKeyBuckets));
  }
  if (play_.draws(OwnershipDraw::LateGrant) && play_.extra.chance(8)) {
    record(play_.extra.below(kKeyBuckets));
  }
  if (play_.draws(OwnershipDraw::LargeFleet)) {
    if (play_.extra.chance(0.5)) {
      hotBucket_ = play_.extra.below(kKeyBuckets);
    }
    if (play_.extra.chance(10)) {
      record(hotBucket_, 3);
    }
  }
}

void OwnershipCoordinators::beginWrite(Term& term)
{
  const base::TimePoint now = play_.clock.now();
  term.writeEndsAt = now + play_.basic.between(0.01, 0.2);
  if (play_.draws(OwnershipDraw::LateWrite) && !play_.isCalm && play_.extra.probably(0.2)) {
    store_.writeLate(now + play_.extra.between(1, 6), term.revision, term.coordinator->record());
    *term.writeEndsAt += kStoreTimeout;
  }
}

void OwnershipCoordinators::endWrite(Term& term)
{
  const base::TimePoint now = play_.clock.now();
  const bool isStoreReached = now >= storeCutUntil_ && now >= term.storeCutUntil;
  if (!term.writeEndsAt || now < *term.writeEndsAt || !isStoreReached) {
    handleWriteAnswer(term);
    return;
  }
  term.writeEndsAt.reset();
  const OwnershipRecord& record = term.coordinator->record();
  if (term.era != store_.era()) {
    // The store came back since the write was sent, and may have given its revision out again.
    store_.write(term.revision, record);
    continueTerm(term);
    return;
  }
  // A conflict with the record's own content means that an earlier write took effect.
  const bool isWritten =
    store_.write(term.revision, record) || isSameRecord(store_.record(), record);
  term.writeAnswer = { now, isWritten, store_.revision() };
  handleWriteAnswer(term);
}

void OwnershipCoordinators::handleWriteAnswer(Term& term)
{
  const base::TimePoint now = play_.clock.now();
  if (!term.writeAnswer || now < term.writeAnswer->at + term.handlingDelay) {
    return;
  }
  const WriteAnswer answer = *std::exchange(term.writeAnswer, std::nullopt);
  if (!answer.isWritten) {
    term.coordinator = nullptr;
    return;
  }
  term.revision = answer.revision;
  term.coordinator->onRecordWritten(now);
}

} // namespace sycamore::dispatch
