#include "KeyedLoad.h"

#include "KeyServer.h"

namespace sycamore::soak {

namespace {

constexpr int kTimeoutMs = 2000;
constexpr int kRequestsPerConnection = 30;
constexpr std::chrono::seconds kHotKeyInterval{ 4 };
// Half of the keys that are asked for are multiples of this, so that servers work on the same key
// again.
constexpr int kKeyStep = 1024;

// Milliseconds of work: mostly short, at times longer than a release waits for.
int drawWork(std::mt19937_64& random)
{
  const int kind = std::uniform_int_distribution<>(0, 99)(random);
  return kind < 65   ? std::uniform_int_distribution<>(1, 30)(random)
         : kind < 82 ? std::uniform_int_distribution<>(100, 600)(random)
                     : std::uniform_int_distribution<>(600, 1500)(random);
}

} // namespace

KeyedLoad::KeyedLoad(review::Deployment& deployment, std::uint64_t seed, int callers)
  : deployment_(deployment)
{
  for (int i = 0; i < callers; ++i) {
    threads_.emplace_back([this, seed, i] { run(seed, i); });
  }
}

KeyedLoad::~KeyedLoad()
{
  stopped_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void KeyedLoad::run(std::uint64_t seed, int caller)
{
  std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(caller));
  std::shared_ptr<review::Channel> channel;
  const review::EntryVm* vm = nullptr;
  auto nextHotKeyAt = review::Clock::now();
  for (int i = 0; !stopped_; ++i) {
    if (caller == 0 && review::Clock::now() >= nextHotKeyAt) {
      nextHotKeyAt += kHotKeyInterval;
      hotKey_ = std::uniform_int_distribution<>(0, kKeys - 1)(random);
    }
    if (i % kRequestsPerConnection == 0 || !channel) {
      const auto& vms = deployment_.vms();
      vm = vms[std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(random)].get();
      channel = review::connectTo(vm->ip, vm->frontPort);
    }
    int key = hotKey_;
    if (std::uniform_int_distribution<>(0, 1)(random) == 0) {
      key = std::uniform_int_distribution<>(0, kKeys / kKeyStep - 1)(random) * kKeyStep;
    }
    if (channel) {
      const review::Answer answer =
        deployment_.ask(*vm,
                        "GET",
                        "/shelf/x/" + std::to_string(drawWork(random)),
                        "c" + std::to_string(caller) + "-" + std::to_string(i),
                        kTimeoutMs,
                        key,
                        channel);
      ++(answer.status == 200 ? served_ : failed_);
      if (!answer.complete) {
        channel = nullptr;
      }
    }
    review::sleepFor(std::uniform_real_distribution<>(0.005, 0.06)(random));
  }
}

} // namespace sycamore::soak
