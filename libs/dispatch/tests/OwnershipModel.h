#pragma once

#include <dispatch/KeyCoordinator.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// A fault that is put into the model on purpose, to show that the checks see it.
enum class DeliberateFault
{
  None,
  // The coordinator isn't told of grants that got no answer.
  UnansweredGrantsForgotten,
  // Grants to new owners carry the previous owner's fencing token.
  FenceNotRaised,
  // A release counts as answered when it arrives, although the server still works on the keys.
  ReleaseAnsweredEarly
};

// Plays one random sequence of events against KeyCoordinator with a manual clock: servers crash,
// start again under their id, pause, drain, answer late or not at all and carry grants out late;
// coordinators stall, are cut off from the store, and are replaced. All events follow from the
// seed.
class OwnershipModel
{
public:
  OwnershipModel(std::uint64_t seed, DeliberateFault fault = DeliberateFault::None);
  ~OwnershipModel();

  // Plays the sequence. Returns the first broken promise; empty if all were kept.
  std::string play();

private:
  struct Hold;
  struct Work;
  struct Process;
  struct GrantCall;
  struct ReleaseCall;
  struct Leader;

  bool chance(double perSecond);
  bool probably(double probability);
  base::Duration between(double minSeconds, double maxSeconds);

  void step();
  void calmDown();
  void disturb();
  void disturbServer(Process& process);
  void replaceLeader();
  void readStore();
  void work();
  void tickLeader(Leader& leader);
  void advanceGrant(Leader& leader, GrantCall& call);
  void onGrantArrived(GrantCall& call, Process& process);
  void applyGrant(Process& process, const GrantCall& call);
  void reportGrant(Leader& leader, GrantCall& call, GrantAnswer answer);
  void advanceRelease(Leader& leader, ReleaseCall& call);
  void applyRelease(Process& process, const ReleaseOrder& order);
  Process* processOf(const base::ServerId& id);
  void addServer();
  void violate(const std::string& text);

  std::mt19937_64 random_;
  DeliberateFault fault_;
  base::ManualClock clock_;
  base::ServiceId service_{ "layout" };
  CoordinatorSettings settings_;
  OwnershipRecord stored_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<base::ServerId, BackendServer> entries_;
  std::vector<std::unique_ptr<Leader>> leaders_;
  // Highest fencing token with which each server had each range.
  std::map<base::ServerId, std::map<std::pair<KeyNumber, KeyNumber>, std::uint64_t>> fences_;
  base::TimePoint storeCutUntil_{};
  base::TimePoint nextStoreReadAt_{};
  bool isCalm_ = false;
  unsigned nextServer_ = 0;
  std::int64_t nextBorn_ = 1000;
  std::string violation_;
};

} // namespace sycamore::dispatch
