#pragma once

#include "OwnershipServers.h"
#include "OwnershipStore.h"

#include <dispatch/Takeover.h>

#include <list>

namespace sycamore::dispatch {

// The coordinators of the model: they take over, end their terms, are cut off, and call servers.
class OwnershipCoordinators
{
public:
  OwnershipCoordinators(OwnershipPlay& play,
                        OwnershipServers& servers,
                        const CoordinatorSettings& settings);
  ~OwnershipCoordinators();

  void disturb();
  void calmDown();
  void step();

  // Returns the number of ranges without an owner; nothing while a takeover is under way.
  std::optional<std::size_t> unownedRanges() const;

private:
  struct OpeningCall;
  struct GrantCall;
  struct ReleaseCall;
  struct WriteAnswer;
  struct Term;
  struct LateTakeover;
  struct StopReport;
  // How the term of a coordinator ends when another one takes over.
  enum class End
  {
    // It isn't told, and goes on until the store's confirmation runs out.
    GoesOn,
    // It stops, and its successor learns it at once, later or never.
    Reports,
    ReportsLate,
    ReportLost
  };

  void disturbTakeovers();
  void continueSeries();
  void continueSecondTerm();
  void beginCut();
  void takeOver(const Coordinator& self, End end, base::Duration handledAfter);
  void takeOverLate(const Coordinator& self);
  void endTerm(Term& term, End end, const Coordinator& next);
  bool isEarlierProcess(const Coordinator& previous, const Coordinator& self) const;
  Takeover planned(const Coordinator& self) const;
  // The former and the present coordinators notice that the store came back.
  void noticeRestoration();
  void continueTerm(Term& term);
  Term& addTerm(const OwnershipRecord& record, base::TimePoint beginsAt);
  void begin(Term& term);
  Coordinator newProcess(const std::string& vm);
  Coordinator otherVm();
  void takeOverWithSameVmName();
  bool isActive(const Coordinator& process) const;

  void readStore();
  void deliverReports();
  void takeUpLateTakeovers();
  void tick(Term& term);
  void handleConfirmations(Term& term);
  void recordBusyKeys(Term& term);
  void endWrite(Term& term);
  void handleWriteAnswer(Term& term);
  void beginWrite(Term& term);

  bool isReachable(const Term& term, const ModelServer* server) const;
  // Returns the time at which a server reads a new connection on which a call arrives now.
  base::TimePoint readTime(const ModelServer& server);
  void advance(Term& term, GrantCall& call);
  // Advances the opening call of a new connection. Returns whether a grant may be written to the
  // connection.
  bool advanceOpening(const Term& term, GrantCall& call, const ModelServer* server);
  void send(Term& term, GrantCall& call, ModelServer* server);
  // The call moves from the network to the server's socket and is read there.
  void receive(const Term& term, GrantCall& call, ModelServer* server);
  void onArrived(GrantCall& call, ModelServer& server);
  void answerFromEarlierCall(GrantCall& call);
  void report(Term& term, GrantCall& call, GrantAnswer answer);
  void advance(Term& term, ReleaseCall& call);
  void receive(const Term& term, ReleaseCall& call, ModelServer* server);
  std::optional<ReleaseAnswer> answerOf(const ReleaseCall& call, const ModelServer* server) const;

  OwnershipPlay& play_;
  OwnershipServers& servers_;
  base::ServiceId service_{ "layout" };
  CoordinatorSettings settings_;
  OwnershipStore store_;
  // The last one has written its takeover last.
  std::list<Term> terms_;
  std::vector<LateTakeover> lateTakeovers_;
  std::vector<StopReport> reports_;
  base::TimePoint storeCutUntil_{};
  base::TimePoint nextStoreReadAt_{};
  base::TimePoint cutUntil_{};
  std::optional<base::TimePoint> takeoverInCutAt_;
  unsigned seriesLeft_ = 0;
  base::TimePoint nextInSeriesAt_{};
  std::optional<base::TimePoint> secondTermAt_;
  // Process that has ended its term and takes over again.
  std::optional<Coordinator> beginsAgain_;
  std::uint64_t nextRun_ = 1;
  // First of the buckets of keys that are hot in a large fleet.
  std::size_t hotBucket_ = 0;
};

} // namespace sycamore::dispatch
