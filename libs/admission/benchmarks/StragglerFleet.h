#pragma once

#include <admission/ServerGate.h>
#include <admission/ServerPicker.h>
#include <quality/EventLoop.h>
#include <quality/Scenario.h>
#include <requests/HedgePolicy.h>

#include <deque>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace sycamore::quality {

enum class Policy
{
  RoundRobin,
  LeastConnections,
  Picker,
  HedgedPicker
};

struct StragglerSetup
{
  int servers = 0;
  // Share of the servers that are slow at the same time, rounded, but at least one server; 0 for
  // none.
  double slowShare = 0;
  // Share of all slots that are busy while no server is slow.
  double load = 0.5;
  Policy policy = Policy::Picker;
  std::uint64_t seed = 0;
};

// Simulates entry VMs that choose servers by their own observations only, and servers with slots
// and a queue at their lease holder. Every second, another random set of servers is slow for half a
// second.
class StragglerFleet
{
public:
  StragglerFleet(const Scenario& scenario, const StragglerSetup& setup);

  // Returns the latencies of the requests in milliseconds.
  std::vector<double> run();

private:
  struct Request
  {
    std::size_t vm = 0;
    base::TimePoint sentAt;
    bool isDone = false;
    std::size_t firstServer = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Attempt
  {
    RequestPtr request;
    admission::WorkId work;
    std::size_t server = 0;
    int tryNumber = 1;
  };
  struct Server
  {
    unsigned busy = 0;
    bool isSlow = false;
    std::deque<Attempt> queue;
    std::unique_ptr<admission::ServerGate> gate;
  };
  struct EntryVm
  {
    admission::ServerPicker picker;
    requests::HedgePolicy hedges;
    std::vector<int> inFlight;
    std::size_t nextServer = 0;
  };

  void arrive();
  void changeStragglers();
  std::size_t choose(EntryVm& vm, const std::size_t* excluded);
  std::size_t leastConnections(const EntryVm& vm);
  void send(const RequestPtr& request, std::size_t server, int tryNumber);
  bool usesGate() const;
  void enqueue(const Attempt& attempt);
  void apply(const admission::GateActions& actions);
  void retryElsewhere(const Attempt& attempt, base::Duration wait);
  void scheduleHedge(const RequestPtr& request);
  void serve(std::size_t server);
  void start(const Attempt& attempt);
  void onEnded(const Attempt& attempt);

  const Scenario& scenario_;
  StragglerSetup setup_;
  std::mt19937_64 random_;
  EventLoop loop_;
  base::TimePoint end_;
  std::vector<EntryVm> vms_;
  std::vector<Server> servers_;
  std::vector<base::ServerId> ids_;
  std::unordered_map<admission::WorkId, Attempt> waiting_;
  std::uint64_t nextWork_ = 0;
  std::vector<double> latencies_;
};

} // namespace sycamore::quality
