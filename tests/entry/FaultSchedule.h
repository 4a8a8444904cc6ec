#pragma once

#include "CallFaults.h"
#include "ConfigurationCheck.h"
#include "OwnershipCheck.h"
#include "ServerFleet.h"
#include "VmSides.h"

#include <Deployment.h>

#include <random>

namespace sycamore::soak {

// Which faults are drawn.
enum class FaultSet
{
  All,
  // Those that don't excuse other VMs from following the store: no calls are disturbed, and only
  // the coordinator is cut off from the store.
  StoreReachable
};

// Draws faults by a seed, several at a time, and ends each after its time. Used by the main thread
// only, because it starts processes.
class FaultSchedule
{
public:
  FaultSchedule(std::uint64_t seed,
                review::Deployment& deployment,
                ServerFleet& fleet,
                FaultProxy& proxy,
                int storeAddress,
                VmSides& sides,
                review::Record& record,
                FaultSet set);

  // Draws the fault of this name as often as all those together that this run draws more of.
  void drawMore(const std::string& name);

  // Begins and ends the faults that are due.
  void tick();

  bool isDisturbed(const std::string& vmAddress) const { return disturbedVms_.contains(vmAddress); }
  const Resumptions& resumptions() const { return resumptions_; }
  // Disturbances that have ended, and those in progress as if they ended now.
  Disturbances disturbances() const;
  // Number of faults of each kind.
  const std::map<std::string, int>& begun() const { return begun_; }

private:
  struct Ending
  {
    Nanoseconds at;
    std::function<void()> end;
  };
  struct Fault
  {
    std::string name;
    std::function<void()> begin;
  };

  void addCallFaults();
  void addProcessFaults();
  void addCoordinatorFaults();
  void addCutFromStore();
  std::size_t indexOf(const std::string& name) const;
  void begin();

  void disturbCalls(const CallFaults& kind, int address);
  void disturbVm(const std::function<void(review::EntryVm&)>& fault);
  void endDisturbance(const std::string& vmAddress);
  void restartVm(review::EntryVm& vm, double downFor);
  void disturbServer(const std::function<void(ServerLife&)>& fault);
  void startElsewhere(ServerLife& life);
  void drain(ServerLife& life);
  void evacuateDomain();
  void cutFromServers();
  void isolateCoordinator();
  void splitDomain();
  void cutFromVms(const std::string& vm, double time);
  void cutFrom(const std::string& vm, const ServerLife& server, double time);
  void cutFromStore(const std::string& vm, double time);
  void addRule(FaultRule rule, double time);
  void endAfter(double time, std::function<void()> end);

  double uniform(double from, double to);
  bool chance(double probability) { return uniform(0, 1) < probability; }
  template<typename Values>
  auto& pick(Values& values)
  {
    return values[std::uniform_int_distribution<std::size_t>(0, values.size() - 1)(random_)];
  }
  // Address of the VM that grants keys; empty if there is none.
  std::string coordinator() const;
  // Number of one server's address, or -1 for all servers.
  int drawServerAddress();

  std::mt19937_64 random_;
  review::Deployment& deployment_;
  ServerFleet& fleet_;
  FaultProxy& proxy_;
  int storeAddress_;
  VmSides& sides_;
  review::Record& record_;
  std::vector<Fault> faults_;
  // Faults of which this run draws more than of others.
  std::vector<std::size_t> frequent_;
  double meanInterval_;
  std::size_t maxAtOnce_;
  Nanoseconds nextAt_ = 0;
  std::vector<Ending> endings_;
  // End of the fault that begins, and of those in progress.
  Nanoseconds lastEnd_ = 0;
  std::vector<Nanoseconds> faultEnds_;
  std::set<std::string> disturbedVms_;
  // Times at which the disturbances in progress began.
  std::map<std::string, Nanoseconds> disturbedSince_;
  Disturbances pastDisturbances_;
  Resumptions resumptions_;
  std::map<std::string, int> begun_;
};

} // namespace sycamore::soak
