#include <dispatch/RequestPermits.h>

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <random>
#include <vector>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

constexpr base::Duration kWindow = std::chrono::seconds(4);
const ServerIncarnation kServer{ base::ServerId("s"), 1 };

struct Conditions
{
  std::size_t vms = 10;
  double perSecond = 2.5;
  // Requests per second of all VMs together.
  double demand = 15;
  double lossShare = 0;
  // Whether issuers are replaced, and some VMs are cut off from them for a time.
  bool takesOver = false;
  bool cutsOff = false;
};

// Entry VMs that send requests to one server with a limit, by permits of a VM that issues them.
class PermitModel
{
public:
  PermitModel(std::uint64_t seed, Conditions conditions)
    : random_(seed)
    , conditions_(conditions)
  {
    for (std::size_t i = 0; i < conditions.vms; ++i) {
      vms_.push_back(std::make_unique<RequestPermits>(real()));
      vms_.back()->onAnswer(RequestLimit{ conditions.perSecond }, now(), now());
      scheduleRequest(i);
    }
  }

  void run(base::Duration duration)
  {
    const base::TimePoint end = now() + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      clock_.set(event.at);
      event.run();
    }
    clock_.set(end);
  }

  // The next issuer takes over. The previous one takes itself for the only one for a while, and the
  // VMs learn of the change one after the other.
  void takeOver()
  {
    ++issuer_;
    begunAt_ = now();
    issuers_[issuer_ % issuers_.size()] = {};
  }

  void setCutOff(std::size_t vms) { cutOff_ = vms; }

  std::size_t mostInWindow() const
  {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals_.size(); ++last) {
      while (arrivals_[last] - arrivals_[first] > kWindow) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::size_t arrivals() const { return arrivals_.size(); }
  std::size_t allowed() const
  {
    const double seconds = std::chrono::duration<double>(kWindow).count();
    return static_cast<std::size_t>(1.5 * conditions_.perSecond * seconds + 5);
  }

private:
  struct Event
  {
    base::TimePoint at;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  base::TimePoint now() const { return clock_.now(); }
  double real() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void schedule(base::Duration delay, std::function<void()> run)
  {
    events_.push({ now() + delay, std::move(run) });
  }

  void scheduleRequest(std::size_t vm)
  {
    const double rate = conditions_.demand / static_cast<double>(conditions_.vms);
    const double seconds = std::exponential_distribution<double>(rate)(random_);
    schedule(std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds)),
             [this, vm] {
               request(vm, now() + milliseconds(60));
               scheduleRequest(vm);
             });
  }

  void request(std::size_t vm, base::TimePoint waitEndsAt)
  {
    switch (vms_[vm]->tryTake(conditions_.vms, now())) {
      case PermitDecision::Send:
        arrivals_.push_back(now());
        return;
      case PermitDecision::Refuse:
        return;
      case PermitDecision::Ask:
        ask(vm);
        break;
      case PermitDecision::Wait:
        break;
    }
    if (now() < waitEndsAt) {
      schedule(milliseconds(4), [this, vm, waitEndsAt] { request(vm, waitEndsAt); });
    }
  }

  base::Duration messageDelay()
  {
    // One message of twenty is late.
    const double most = conditions_.lossShare > 0 && real() < 0.05 ? 400 : 3;
    return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(0.2 + real() * most));
  }

  bool isLost(std::size_t vm) { return vm < cutOff_ || real() < conditions_.lossShare; }

  void ask(std::size_t vm)
  {
    // After a takeover, some VMs still ask the previous issuer.
    const bool knowsNew = now() >= begunAt_ + milliseconds(300) * real();
    const std::size_t issuer = knowsNew || issuer_ == 0 ? issuer_ : issuer_ - 1;
    const unsigned wanted = vms_[vm]->wanted();
    if (isLost(vm)) {
      return;
    }
    schedule(messageDelay(), [this, vm, issuer, wanted] { answer(vm, issuer, wanted); });
  }

  void answer(std::size_t vm, std::size_t issuer, unsigned wanted)
  {
    const base::Duration age = now() - begunAt_;
    const bool isSole =
      issuer == issuer_ ? issuer_ == 0 || age >= milliseconds(1500) : age < milliseconds(900);
    const PermitGrant grant = issuers_[issuer % issuers_.size()].request(
      { kServer, { conditions_.perSecond } }, wanted, isSole, now());
    if (!isLost(vm)) {
      schedule(messageDelay(), [this, vm, grant] { vms_[vm]->onGrant(grant, now()); });
    }
  }

  std::mt19937_64 random_;
  Conditions conditions_;
  base::ManualClock clock_;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<RequestPermits>> vms_;
  std::array<PermitIssuer, 2> issuers_;
  std::size_t issuer_ = 0;
  base::TimePoint begunAt_{};
  std::size_t cutOff_ = 0;
  std::vector<base::TimePoint> arrivals_;
};

Conditions randomConditions(std::mt19937_64& random)
{
  const auto real = [&random](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
  };
  Conditions conditions;
  conditions.vms = static_cast<std::size_t>(real(2, 120));
  conditions.perSecond = real(0.3, 40);
  conditions.demand = conditions.perSecond * real(0.5, 8);
  conditions.lossShare = real(0, 0.2);
  conditions.takesOver = real(0, 1) < 0.7;
  conditions.cutsOff = real(0, 1) < 0.5;
  return conditions;
}

} // namespace

// Guards against more requests than a server's limit allows, whatever happens to the messages and
// to the VM that issues permits.
TEST_CASE("permits keep the limit of a server with lost and late messages, takeovers and cuts")
{
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const Conditions conditions = randomConditions(random);
    PermitModel model(seed, conditions);
    for (int phase = 0; phase < 4; ++phase) {
      model.run(std::chrono::seconds(3));
      if (conditions.takesOver) {
        model.takeOver();
      }
      if (conditions.cutsOff) {
        model.setCutOff(phase % 2 == 0 ? random() % conditions.vms : 0);
      }
    }
    model.run(std::chrono::seconds(5));
    CHECK(model.mostInWindow() <= model.allowed());
  }
}

// Guards against a limit that is kept by leaving most of it unused.
TEST_CASE("under load, permits use nearly all of a server's limit")
{
  for (const Conditions& conditions : { Conditions{ 10, 2.6, 15 },
                                        Conditions{ 100, 2.6, 15 },
                                        Conditions{ 300, 20, 100 },
                                        Conditions{ 10, 60, 200 } }) {
    CAPTURE(conditions.vms);
    CAPTURE(conditions.perSecond);
    PermitModel model(7, conditions);
    constexpr double kSeconds = 30;
    model.run(std::chrono::seconds(30));
    const double used = static_cast<double>(model.arrivals()) / (conditions.perSecond * kSeconds);
    CHECK(used >= 0.9);
    CHECK(used <= 1.05);
    CHECK(model.mostInWindow() <= model.allowed());
  }
}

TEST_CASE("without an answer to its questions a VM keeps to a share of the limit")
{
  Conditions conditions{ 10, 5, 50 };
  conditions.lossShare = 1;
  PermitModel model(3, conditions);
  model.run(std::chrono::seconds(20));
  CHECK(model.arrivals() > 10);
  CHECK(model.mostInWindow() <= model.allowed());
}

TEST_CASE("a limit ends with answers that don't name it, not with older ones")
{
  base::ManualClock clock;
  clock.advance(std::chrono::seconds(1));
  RequestPermits permits(0.5);
  const base::TimePoint before = clock.now();
  clock.advance(milliseconds(10));
  CHECK(permits.onAnswer(RequestLimit{ 2 }, before, clock.now()));
  permits.onAnswer(std::nullopt, before, clock.now());
  permits.onAnswer(std::nullopt, before, clock.now());
  CHECK(permits.limit());
  permits.onAnswer(std::nullopt, clock.now(), clock.now());
  CHECK(permits.limit());
  permits.onAnswer(std::nullopt, clock.now(), clock.now());
  CHECK_FALSE(permits.limit());
}

TEST_CASE("numbers that no server can mean as a limit never ban it")
{
  CHECK_FALSE(usableLimit(-1));
  CHECK_FALSE(usableLimit(std::numeric_limits<double>::quiet_NaN()));
  for (const double number : { 0.0, 1e-300, 1e300, std::numeric_limits<double>::infinity() }) {
    CAPTURE(number);
    const auto limit = usableLimit(number);
    REQUIRE(limit);
    CHECK(limit->perSecond >= 0.25);
    CHECK(limit->perSecond <= 1e6);
  }
}
