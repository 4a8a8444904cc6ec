#pragma once

#include <dispatch/AdmissionRule.h>
#include <dispatch/PriorityThrottle.h>
#include <dispatch/ServerLoad.h>

#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace sycamore::dispatch {

// Requests of one kind at a server that is played by QueueModel.
struct PlayedClass
{
  unsigned priority = 0;
  double perSecond = 0;
  base::Duration work{};
  base::Duration target{};
  base::Duration patience{};
  // Value of an answer within the target.
  double worth = 1;
};

// What the callers of a class got.
struct PlayedOutcome
{
  unsigned asked = 0;
  unsigned inTarget = 0;
  unsigned late = 0;
  unsigned refused = 0;
  unsigned failed = 0;

  double inTargetShare() const { return asked == 0 ? 0 : double(inTarget) / asked; }
};

// Plays requests that arrive at random at one server with slots and a queue, behind a rule that
// sends or refuses each.
class QueueModel
{
public:
  // Whether to send a request of a class, by the load that the entry VM knows.
  using Rule = std::function<bool(const PlayedClass&, const ServerLoad&, base::TimePoint)>;

  QueueModel(std::vector<PlayedClass> classes, unsigned slots, Rule rule);

  // Outcomes by class, after playing so many requests.
  std::vector<PlayedOutcome> play(unsigned requests, std::uint64_t seed);

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

  std::vector<PlayedClass> classes_;
  unsigned slots_;
  Rule rule_;
  ServerLoad load_;
  std::deque<Waiting> waiting_;
  std::vector<Running> running_;
  std::vector<PlayedOutcome> outcomes_;
};

// Value that callers got, as a share of what they asked for.
double worthShare(const std::vector<PlayedClass>& classes,
                  const std::vector<PlayedOutcome>& outcomes);

} // namespace sycamore::dispatch
