#pragma once

#include <dispatch/RequestPermits.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace sycamore::dispatch {

// Requests of one priority, from all entry VMs together.
struct PermitDemand
{
  unsigned priority = 0;
  double perSecond = 0;
};

struct PermitConditions
{
  std::size_t vms = 10;
  // The server's limit.
  double perSecond = 2.5;
  std::vector<PermitDemand> demands{ { 0, 15 } };
  // Time that requests have for being sent.
  base::Duration patience = std::chrono::milliseconds(100);
  double lossShare = 0;
  // Whether issuers are replaced, and some VMs are cut off from them for a time.
  bool takesOver = false;
  bool cutsOff = false;
};

// Entry VMs that send requests to one server with a limit, by permits of a VM that issues them.
class PermitModel
{
public:
  PermitModel(std::uint64_t seed, PermitConditions conditions);

  void run(base::Duration duration);

  // The next issuer takes over. The previous one takes itself for the only one for a while, and the
  // VMs learn of the change one after the other.
  void takeOver();

  void setCutOff(std::size_t vms) { cutOff_ = vms; }

  // Returns the largest number of arrivals in the time in which the limit is checked.
  std::size_t mostInWindow() const;
  // Returns how many the server's limit allows there.
  std::size_t allowed() const;

  std::size_t arrivals() const { return arrivals_.size(); }
  // Returns the part of a priority's requests that were sent.
  double servedShare(unsigned priority) const;
  // Returns how many requests of a priority were sent.
  std::size_t served(unsigned priority) const;

private:
  struct Event
  {
    base::TimePoint at;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  struct Counts
  {
    std::size_t requests = 0;
    std::size_t served = 0;
  };

  struct Request
  {
    std::size_t vm = 0;
    unsigned priority = 0;
    base::TimePoint latestSendAt;
    // Set while the request waits for a permit.
    std::shared_ptr<PermitWait> wait;
  };

  base::TimePoint now() const { return clock_.now(); }
  double real() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void schedule(base::Duration delay, std::function<void()> run);
  void scheduleRequest(std::size_t vm, const PermitDemand& demand);
  void send(Request request);
  base::Duration messageDelay();
  bool isLost(std::size_t vm) { return vm < cutOff_ || real() < conditions_.lossShare; }
  void ask(std::size_t vm, unsigned priority);
  void answer(std::size_t vm, std::size_t issuer, const PermitQuestion& question);

  std::mt19937_64 random_;
  PermitConditions conditions_;
  base::ManualClock clock_;
  std::vector<std::shared_ptr<RequestPermits>> vms_;
  std::priority_queue<Event> events_;
  std::array<PermitIssuer, 2> issuers_;
  std::size_t issuer_ = 0;
  base::TimePoint begunAt_{};
  std::size_t cutOff_ = 0;
  std::vector<base::TimePoint> arrivals_;
  std::map<unsigned, Counts> counts_;
};

} // namespace sycamore::dispatch
