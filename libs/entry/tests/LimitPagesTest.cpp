#include <entry/PeerMessage.h>

#include <dispatch/RequestPermits.h>
#include <dispatch/ServerLimits.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <string>

using namespace sycamore;
using namespace sycamore::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kWindow = seconds(4);
constexpr base::Duration kHeartbeatInterval = milliseconds(200);
constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kAnswerDelay = milliseconds(100);
const dispatch::RequestLimit kLimit{ 2.5 };
const dispatch::ServerIncarnation kServer{ base::ServerId("z"), 1 };

dispatch::ServerIncarnation otherServer(int number)
{
  return { base::ServerId("s" + std::to_string(100 + number)), 1 };
}

// The coordinator and another entry VM, which sends requests to one of many limited servers.
class LimitedServersModel
{
public:
  explicit LimitedServersModel(int otherServers)
    : otherServers_(otherServers)
  {
    coordinator_.onAnswer(kServer, kLimit, now());
    permits_.onAnswer(kLimit, now(), now());
  }

  // All other servers name their limits too.
  void limitOthers()
  {
    for (int i = 0; i < otherServers_; ++i) {
      coordinator_.onAnswer(otherServer(i), kLimit, now());
    }
  }

  // Lets time pass, with this many requests in each step.
  void run(base::Duration duration, int requestsPerStep)
  {
    for (const base::TimePoint end = now() + duration; now() < end; clock_.advance(kStep)) {
      if (now() >= nextHeartbeatAt_) {
        sendHeartbeat();
      }
      for (; !sent_.empty() && now() >= sent_.front() + kAnswerDelay; sent_.pop_front()) {
        permits_.onAnswer(kLimit, sent_.front(), now());
      }
      for (int i = 0; i < requestsPerStep; ++i) {
        send();
      }
    }
  }

  void sendHeartbeat()
  {
    nextHeartbeatAt_ = now() + kHeartbeatInterval;
    HeartbeatMessage heartbeat;
    heartbeat.limitedServers = coordinator_.nextPage(kMaxLimitedServers);
    const auto received = decodePeerMessage(encodePeerMessage(heartbeat));
    vm_.apply(std::get<HeartbeatMessage>(*received).limitedServers, now());
    permits_.setSharedLimit(vm_.limitOf(kServer), now());
  }

  std::size_t mostInWindow() const
  {
    std::size_t most = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      const auto last = std::upper_bound(first, arrivals_.end(), *first + kWindow);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

private:
  base::TimePoint now() const { return clock_.now(); }

  void send()
  {
    const dispatch::PermitSeeker seeker;
    dispatch::PermitDecision decision = permits_.tryTake(seeker, 2, now());
    if (decision == dispatch::PermitDecision::Ask) {
      permits_.onGrant(issuer_.request({ { kServer, kLimit }, 1, 0 }, true, now()), now());
      decision = permits_.tryTake(seeker, 2, now());
    }
    if (decision == dispatch::PermitDecision::Send) {
      arrivals_.push_back(now());
      sent_.push_back(now());
    }
  }

  int otherServers_;
  base::ManualClock clock_;
  dispatch::ServerLimits coordinator_;
  dispatch::ServerLimits vm_;
  dispatch::PermitIssuer issuer_;
  dispatch::RequestPermits permits_{ 0.5 };
  base::TimePoint nextHeartbeatAt_{};
  std::deque<base::TimePoint> sent_;
  std::deque<base::TimePoint> arrivals_;
};

} // namespace

// Guards against a VM that forgets the limit of a server as soon as a heartbeat can't name all
// limited servers, and sends requests without permits.
TEST_CASE("a server's limit is kept while more servers have limits than a heartbeat names")
{
  for (const int others : { 0, 23, 24, 47, 48, 100 }) {
    CAPTURE(others);
    LimitedServersModel model(others);
    model.run(seconds(1), 1);
    // Longer than the VM's own observation of the limit counts.
    model.run(seconds(2), 0);
    model.limitOthers();
    model.run(seconds(1), 0);
    model.run(seconds(1), 5);
    CHECK(model.mostInWindow() <= static_cast<std::size_t>(1.5 * kLimit.perSecond * 4 + 5));
  }
}
