#include "OwnershipCoordinators.h"

#include "OwnershipTerm.h"

#include <algorithm>

namespace sycamore::dispatch {

bool OwnershipCoordinators::isReachable(const Term& term, const ModelServer* server) const
{
  const bool isCut = play_.clock.now() < cutUntil_;
  return server != nullptr && (!isCut || term.isBehindCut == server->isBehindCut);
}

base::TimePoint OwnershipCoordinators::readTime(const ModelServer& server)
{
  const base::TimePoint now = play_.clock.now();
  const base::TimePoint freeFrom = std::max(now, server.pausedUntil);
  if (server.busyUntil <= freeFrom) {
    return freeFrom;
  }
  // A busy server reads its connections in any order.
  const std::chrono::duration<double> busyFor = server.busyUntil - freeFrom;
  return freeFrom + play_.extra.between(0, busyFor.count());
}

void OwnershipCoordinators::advance(Term& term, GrantCall& call)
{
  const base::TimePoint now = play_.clock.now();
  const bool isStalled = now < term.stalledUntil;
  ModelServer* const server = servers_.at(call.order.server);
  if (!call.isSent && !call.isReported && !isStalled && now >= call.connectsAt &&
      advanceOpening(term, call, server)) {
    send(term, call, server);
    if (call.isReported) {
      return;
    }
  }
  const bool isConnected = server != nullptr && server->born == call.born;
  const bool isReached = isConnected && isReachable(term, server);
  receive(term, call, isConnected ? server : nullptr);
  if (call.appliesAt && !call.isApplied && now >= *call.appliesAt) {
    call.isApplied = true;
    if (isConnected && server->isUp) {
      servers_.applyGrant(*server, call.order, call.fence, *call.arrivedAt);
    }
  }
  if (call.isReported || isStalled) {
    return;
  }
  const base::TimePoint handledUpTo = now - term.handlingDelay;
  if (call.answersAt && handledUpTo >= *call.answersAt && isReached) {
    report(term, call, call.answer);
  } else if (handledUpTo >= call.order.sendBy || (call.isSent && !isConnected)) {
    report(term, call, call.isSent ? GrantAnswer::OutcomeUnknown : GrantAnswer::NotSent);
  }
}

bool OwnershipCoordinators::advanceOpening(const Term& term,
                                           GrantCall& call,
                                           const ModelServer* server)
{
  const base::TimePoint now = play_.clock.now();
  if (call.isConnectionAnswered || play_.fault == DeliberateFault::GrantsOnUnreadConnections) {
    return true;
  }
  if (!isReachable(term, server) || (!server->isUp && !server->isReplaced)) {
    return false;
  }
  if (!call.opening) {
    call.born = server->born;
    const bool isFast = play_.extra.probably(0.9);
    call.opening = { now + (isFast ? kModelStep : play_.extra.between(0.02, 4)), {} };
  }
  if (server->born != call.born || now < call.opening->arrivesAt) {
    return false;
  }
  if (!call.opening->readAt) {
    call.opening->readAt = readTime(*server);
  }
  call.isConnectionAnswered = now >= *call.opening->readAt && now >= server->losesAnswersUntil;
  return call.isConnectionAnswered;
}

void OwnershipCoordinators::send(Term& term, GrantCall& call, ModelServer* server)
{
  const base::TimePoint now = play_.clock.now();
  const bool accepts = server != nullptr && (server->isUp || server->isReplaced);
  // A kept connection takes the call although a cut holds it up.
  const bool connects = accepts && (isReachable(term, server) ||
                                    (call.isConnectionAnswered && play_.extra.probably(0.5)));
  if (!term.coordinator || !connects || !term.coordinator->maySend(call.order, now)) {
    report(term, call, GrantAnswer::NotSent);
    return;
  }
  call.isSent = true;
  call.sentAt = now;
  call.born = server->born;
  call.arrivesAt = now + (play_.basic.probably(0.9) ? kModelStep : play_.basic.between(0.02, 4));
}

// `server` is null if the process that the connection led to has ended.
void OwnershipCoordinators::receive(const Term& term, GrantCall& call, ModelServer* server)
{
  const base::TimePoint now = play_.clock.now();
  call.isUnread = call.isUnread && server != nullptr;
  // A call that is given up on its way is lost.
  const bool isOnItsWay = call.isSent && !call.isReported && !call.readAt;
  if (isOnItsWay && now >= call.arrivesAt && isReachable(term, server)) {
    call.readAt = call.isConnectionAnswered ? now : readTime(*server);
    call.isUnread = true;
  }
  if (call.isUnread && now >= *call.readAt) {
    call.isUnread = false;
    onArrived(call, *server);
  }
}

void OwnershipCoordinators::onArrived(GrantCall& call, ModelServer& server)
{
  const base::TimePoint now = play_.clock.now();
  call.arrivedAt = now;
  if (server.isReplaced) {
    call.answer = GrantAnswer::OtherServer;
    call.answersAt = now + kModelStep;
    return;
  }
  if (!server.isUp) {
    return;
  }
  if (servers_.isSuperseded(server, call.order, call.fence)) {
    call.answer = GrantAnswer::Superseded;
    call.answersAt = now + kModelStep;
    return;
  }
  // A grant without an answer may be carried out seconds later; its time counts from its arrival.
  const bool isLate = !play_.isCalm && play_.basic.probably(0.02);
  const base::TimePoint readAt = std::max(now, server.pausedUntil);
  call.appliesAt = isLate ? readAt + play_.basic.between(0.05, 2.5) : readAt;
  if (!isLate && now >= server.losesAnswersUntil) {
    call.answersAt = readAt + kModelStep;
  }
  if (play_.isCalm) {
    return;
  }
  // The grants of a term that is about to begin again are those that its second part may forget.
  const double late = secondTermAt_ ? 0.4 : play_.draws(OwnershipDraw::LateGrant) ? 0.15 : 0;
  if (late > 0 && play_.extra.probably(late)) {
    call.appliesAt = readAt + play_.extra.between(0.05, 2.7);
    call.answersAt.reset();
  }
  answerFromEarlierCall(call);
}

// The call gets an answer that isn't its own.
void OwnershipCoordinators::answerFromEarlierCall(GrantCall& call)
{
  const base::TimePoint now = play_.clock.now();
  RandomDraws& draws = play_.extra;
  if (play_.draws(OwnershipDraw::CopiedGrantAnswer) && draws.probably(0.05)) {
    call.appliesAt = now + draws.between(0, 3);
    call.answer = GrantAnswer::Accepted;
    const bool isTaken = play_.fault == DeliberateFault::CopiedAnswerAccepted;
    call.answersAt = (isTaken ? now : *call.appliesAt) + kModelStep;
  }
  if (play_.draws(OwnershipDraw::ForeignAnswer) && draws.probably(0.01)) {
    call.answer = play_.fault == DeliberateFault::EveryMisdirectionEndsServer
                    ? GrantAnswer::OtherServer
                    : GrantAnswer::OutcomeUnknown;
    call.answersAt = now + kModelStep;
  }
  if (play_.draws(OwnershipDraw::UntrueEnd) && draws.probably(0.005)) {
    call.answer = GrantAnswer::OtherServer;
    call.answersAt = now + kModelStep;
  }
}

void OwnershipCoordinators::report(Term& term, GrantCall& call, GrantAnswer answer)
{
  call.isReported = true;
  if (!term.coordinator) {
    return;
  }
  if (answer == GrantAnswer::OtherServer) {
    term.coordinator->onServerProcessEnded(call.order.server);
  }
  if (play_.fault == DeliberateFault::UnansweredGrantsForgotten &&
      answer == GrantAnswer::OutcomeUnknown) {
    answer = GrantAnswer::NotSent;
  }
  const bool countsFromSending =
    play_.fault == DeliberateFault::GrantCountedFromSending && call.isSent;
  term.coordinator->onGrantAnswered(
    call.order, answer, countsFromSending ? call.sentAt : play_.clock.now());
}

void OwnershipCoordinators::advance(Term& term, ReleaseCall& call)
{
  const base::TimePoint now = play_.clock.now();
  ModelServer* const server = servers_.at(call.order.server);
  const bool isServerThere =
    server != nullptr && server->born == call.born && (server->isUp || server->isReplaced);
  const bool isConnected = isServerThere && isReachable(term, server);
  receive(term, call, isServerThere ? server : nullptr);
  if (call.isReported) {
    return;
  }
  if (now < term.stalledUntil || !term.coordinator) {
    call.isReported = !term.coordinator;
    return;
  }
  if (!call.answer) {
    call.answer = answerOf(call, isConnected ? server : nullptr);
    if (!call.answer && now < call.givenUpAt) {
      return;
    }
    call.answer = call.answer.value_or(ReleaseAnswer());
    call.endedAt = now;
  }
  if (now < call.endedAt + term.handlingDelay) {
    return;
  }
  call.isReported = true;
  if (call.answer->kind == ReleaseAnswer::Kind::OtherServer) {
    term.coordinator->onServerProcessEnded(call.order.server);
  }
  term.coordinator->onReleaseAnswered(call.order, *call.answer, now);
}

// `server` is null if the process that the connection led to has ended.
void OwnershipCoordinators::receive(const Term& term, ReleaseCall& call, ModelServer* server)
{
  const base::TimePoint now = play_.clock.now();
  call.isUnread = call.isUnread && server != nullptr;
  if (server == nullptr || server->isReplaced || call.isApplied) {
    return;
  }
  const bool arrives = !call.isReported && now >= call.arrivesAt && isReachable(term, server);
  if (arrives && !call.readAt && now < server->busyUntil) {
    call.readAt = readTime(*server);
    call.isUnread = true;
  }
  const bool isRead = call.readAt ? now >= *call.readAt : arrives;
  if (!isRead || now < server->pausedUntil) {
    return;
  }
  call.isUnread = false;
  call.isApplied = true;
  call.isAnsweredAtOnce = play_.draws(OwnershipDraw::SecondReleaseAtOnce) &&
                          !servers_.holdsAny(*server, call.order.from, call.order.to);
  servers_.applyRelease(*server, call.order);
}

// Returns the answer to a release that the coordinator has got; nothing if there is none yet.
// `server` is null if there is no connection to it.
std::optional<ReleaseAnswer> OwnershipCoordinators::answerOf(const ReleaseCall& call,
                                                             const ModelServer* server) const
{
  using Kind = ReleaseAnswer::Kind;
  const base::TimePoint now = play_.clock.now();
  if (server == nullptr) {
    return ReleaseAnswer{ call.isApplied ? Kind::OutcomeUnknown : Kind::NotSent };
  }
  if (server->isReplaced && now >= call.arrivesAt) {
    return ReleaseAnswer{ Kind::OtherServer };
  }
  if (call.getsForeignAnswer) {
    const bool isTaken = play_.fault == DeliberateFault::AnyAnswerEndsRelease;
    return ReleaseAnswer{ isTaken ? Kind::Released : Kind::OutcomeUnknown };
  }
  const bool mayAnswer = !servers_.isAtWork(*server, call.order.from, call.order.to) ||
                         play_.fault == DeliberateFault::ReleaseAnsweredEarly ||
                         call.isAnsweredAtOnce;
  if (call.isApplied && mayAnswer && now >= server->losesAnswersUntil) {
    return ReleaseAnswer{ Kind::Released, HandoverToken("token") };
  }
  return std::nullopt;
}

} // namespace sycamore::dispatch
