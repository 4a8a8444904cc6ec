#pragma once

#include <dispatch/AdmissionRule.h>
#include <dispatch/PriorityThrottle.h>
#include <dispatch/ServerLoad.h>

#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace sycamore::dispatch {

// A class of requests in a QueueModel.
struct RequestClass
{
  unsigned priority = 0;
  double perSecond = 0;
  base::Duration work{};
  base::Duration target{};
  base::Duration timeout{};
  // Value of an answer within the target.
  double value = 1;
};

// Outcomes of the requests of a class.
struct ClassOutcome
{
  unsigned received = 0;
  unsigned inTarget = 0;
  unsigned late = 0;
  unsigned refused = 0;
  unsigned failed = 0;

  double inTargetShare() const { return received == 0 ? 0 : double(inTarget) / received; }
};

// Simulates requests that arrive at random at one server with slots and a queue, behind an
// admission rule that sends or refuses each of them.
class QueueModel
{
public:
  // Returns whether to send a request of a class, given the entry VM's estimate of the server's
  // load.
  using Rule = std::function<bool(const RequestClass&, const ServerLoad&, base::TimePoint)>;

  QueueModel(std::vector<RequestClass> classes, unsigned slots, Rule rule);

  // Simulates the given number of requests and returns the outcomes by class.
  std::vector<ClassOutcome> simulate(unsigned requests, std::uint64_t seed);

private:
  struct Waiting
  {
    std::size_t type = 0;
    base::TimePoint sent;
    base::Duration work{};
  };

  struct Running
  {
    Waiting request;
    base::TimePoint ends;
  };

  void finishUntil(base::TimePoint time);
  void startWaiting(base::TimePoint now);
  void finish(const Running& running);

  std::vector<RequestClass> classes_;
  unsigned slots_;
  Rule rule_;
  ServerLoad load_;
  std::deque<Waiting> waiting_;
  std::vector<Running> running_;
  std::vector<ClassOutcome> outcomes_;
};

// Returns the total value of the answers as a share of the value of all requests.
double valueShare(const std::vector<RequestClass>& classes,
                  const std::vector<ClassOutcome>& outcomes);

} // namespace sycamore::dispatch
