#include "OwnershipCoordinators.h"

#include "OwnershipTerm.h"

#include <algorithm>

namespace sycamore::dispatch {

namespace {

constexpr unsigned kProcessesInSeries = 3;

} // namespace

void OwnershipCoordinators::disturb()
{
  const base::TimePoint now = play_.clock.now();
  RandomDraws& draws = play_.basic;
  if (draws.chance(0.1)) {
    storeCutUntil_ = now + draws.between(0.2, 8);
  }
  if (draws.chance(0.15)) {
    terms_.back().stalledUntil = now + draws.between(0.05, 4);
  }
  if (draws.chance(0.06)) {
    // The former coordinator has stopped and says so, or it is cut off and goes on.
    const bool reports = draws.probably(0.5) && now >= terms_.back().stalledUntil;
    takeOver(otherVm(), reports ? End::Reports : End::GoesOn, base::Duration::zero());
  }
  disturbTakeovers();
  // Keys move at about the time of takeovers.
  if (!play_.kinds.empty() && play_.extra.chance(0.3)) {
    servers_.changeDraining();
  }
}

void OwnershipCoordinators::disturbTakeovers()
{
  const base::TimePoint now = play_.clock.now();
  RandomDraws& draws = play_.extra;
  if (play_.draws(OwnershipDraw::LateTakeover)) {
    const bool isPending = !terms_.back().hasBegun;
    if (draws.chance(isPending ? 0.5 : 0.1)) {
      const End end = draws.probably(0.5) ? End::Reports : End::GoesOn;
      takeOver(otherVm(), end, draws.between(0, isPending ? 0.5 : 6));
    }
  }
  if (play_.draws(OwnershipDraw::SameVmName) && draws.chance(0.08)) {
    takeOverWithSameVmName();
  }
  if (play_.draws(OwnershipDraw::SeriesOfTerms)) {
    if (seriesLeft_ == 0 && draws.chance(0.1)) {
      seriesLeft_ = static_cast<unsigned>(3 + draws.below(4));
      nextInSeriesAt_ = now;
    }
    continueSeries();
  }
  if (play_.draws(OwnershipDraw::SecondTerm)) {
    if (!secondTermAt_ && draws.chance(0.1)) {
      takeOver(otherVm(), End::ReportsLate, base::Duration::zero());
      secondTermAt_ = now + draws.between(0.2, 2.5);
    }
    continueSecondTerm();
  }
  if (play_.draws(OwnershipDraw::LateWrite) && draws.chance(0.06)) {
    takeOverLate(otherVm());
  }
  if (play_.draws(OwnershipDraw::Cut) && now >= cutUntil_ && draws.chance(0.08)) {
    beginCut();
  }
  if (play_.draws(OwnershipDraw::RestoredStore) && draws.chance(0.1)) {
    store_.restore(now - draws.between(0.1, 10));
  }
  if (play_.draws(OwnershipDraw::LateHandling)) {
    for (Term& term : terms_) {
      if (draws.chance(0.5)) {
        term.handlingDelay = draws.between(0, 1);
      }
    }
  }
  if (takeoverInCutAt_ && now >= *takeoverInCutAt_) {
    takeoverInCutAt_.reset();
    takeOver(otherVm(), End::GoesOn, base::Duration::zero());
  }
}

// Takeovers in turn by a few processes that stay the same.
void OwnershipCoordinators::continueSeries()
{
  const base::TimePoint now = play_.clock.now();
  RandomDraws& draws = play_.extra;
  if (seriesLeft_ == 0 || now < nextInSeriesAt_) {
    return;
  }
  nextInSeriesAt_ = now + draws.between(0.2, 1.5);
  --seriesLeft_;
  for (unsigned i = 0; i < kProcessesInSeries; ++i) {
    const std::string vm(1, static_cast<char>('A' + i));
    const Coordinator next{ base::VmId(vm), 1000000 + i, "10.0.2." + std::to_string(i) };
    if (isActive(next)) {
      continue;
    }
    const double how = std::chrono::duration<double>(draws.between(0, 1)).count();
    const End end = how < 0.4   ? End::Reports
                    : how < 0.6 ? End::ReportsLate
                    : how < 0.8 ? End::ReportLost
                                : End::GoesOn;
    for (const auto& server : servers_.all()) {
      if (draws.probably(0.3)) {
        server->losesAnswersUntil = now + draws.between(0.2, 1.5);
      }
    }
    takeOver(next, end, base::Duration::zero());
    return;
  }
}

// Ends the current term, and lets the same process take over again soon after.
void OwnershipCoordinators::continueSecondTerm()
{
  const base::TimePoint now = play_.clock.now();
  if (!secondTermAt_ || now < *secondTermAt_) {
    return;
  }
  secondTermAt_.reset();
  if (beginsAgain_) {
    takeOver(*beginsAgain_, End::GoesOn, base::Duration::zero());
    beginsAgain_.reset();
    servers_.changeDraining();
    return;
  }
  Term& term = terms_.back();
  if (term.coordinator && store_.record().coordinator == term.self) {
    term.coordinator = nullptr;
    beginsAgain_ = term.self;
    secondTermAt_ = now + play_.extra.between(0.05, 0.5);
  }
}

// Another process of the VM name is at another address, unless the earlier one has ended.
void OwnershipCoordinators::takeOverWithSameVmName()
{
  const Coordinator former = terms_.back().self;
  Coordinator next = newProcess(former.vm.value());
  if (play_.extra.probably(0.5)) {
    next.address = former.address;
    for (Term& term : terms_) {
      if (term.self == former) {
        term.coordinator = nullptr;
        term.hasBegun = true;
        // A process that was killed keeps no call open, also if it was stalled.
        term.stalledUntil = std::min(term.stalledUntil, play_.clock.now());
      }
    }
  }
  takeOver(next, End::GoesOn, base::Duration::zero());
}

// The coordinator and some servers are cut off from the store, its successor and the others.
void OwnershipCoordinators::beginCut()
{
  const base::TimePoint now = play_.clock.now();
  RandomDraws& draws = play_.extra;
  cutUntil_ = now + draws.between(0.5, 12);
  Term& cutOff = terms_.back();
  for (Term& term : terms_) {
    term.isBehindCut = false;
  }
  for (const auto& server : servers_.all()) {
    server->isBehindCut = draws.probably(0.5);
  }
  // Sometimes only servers are cut off.
  if (draws.probably(0.75)) {
    cutOff.isBehindCut = true;
    cutOff.storeCutUntil = cutUntil_;
    takeoverInCutAt_ = now + draws.between(0.7, 2);
  }
}

} // namespace sycamore::dispatch
