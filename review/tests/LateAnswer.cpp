#include "Deployment.h"

// A faulty instance sends a second copy of some of its answers, late, where the next answer on that
// connection is expected: at most 3 in 100 of its answers. It then leaves as planned, while it
// works on requests. No other instance may get a key on which it is still at work before its hold
// would have run out.
namespace {

using namespace review;

constexpr double kMaxShareOfExtraAnswers = 0.03;

// Returns a key out of each range of keys that the instance holds.
std::vector<int> heldKeys(Server& server)
{
  std::vector<int> keys;
  const auto holds = server.holds();
  bool isHeldBefore = false;
  for (std::size_t key = 0; key < holds.size(); ++key) {
    const bool isHeld = holds[key].until > Clock::now();
    if (isHeld && !isHeldBefore) {
      keys.push_back(static_cast<int>(key) + 5);
    }
    isHeldBefore = isHeld;
  }
  return keys;
}

bool run(const std::string& root, Record& record)
{
  Deployment::Sizes sizes;
  sizes.keyedServers = 8;
  sizes.orderServers = 0;
  sizes.slots = 8;
  sizes.timeoutSeconds = 3;
  Deployment deployment(root, record, sizes);
  if (!deployment.awaitService(25)) {
    throw std::runtime_error("the deployment didn't come into service");
  }
  sleepFor(2);
  Server& leaving = *deployment.servers().front();

  // Ordinary requests, so that the extra answers stay a small share of all answers.
  const std::vector<int> keys = heldKeys(leaving);
  const auto enough = static_cast<int>(static_cast<double>(keys.size()) / kMaxShareOfExtraAnswers);
  for (int i = 0; leaving.answers() < enough + 20 && i < 1000; ++i) {
    deployment.ask(*deployment.vms()[static_cast<std::size_t>(i) % deployment.vms().size()],
                   "GET",
                   "/shelf/work/5",
                   "plain" + std::to_string(i),
                   3000,
                   keys[static_cast<std::size_t>(i) % keys.size()]);
  }

  std::atomic<int> broken{ 0 };
  std::atomic<int> extra{ 0 };
  std::mutex mutex;
  std::map<std::uint64_t, Clock::time_point> heldUntil;
  for (const auto& other : deployment.servers()) {
    if (other.get() == &leaving) {
      continue;
    }
    Server* const taker = other.get();
    taker->onGrantTaken = [&, taker](int from, int to, std::uint64_t fence) {
      for (const Server::Run& atWork : leaving.running()) {
        const bool isInGrant = atWork.key >= from && atWork.key <= to && fence > atWork.fence;
        const std::lock_guard lock(mutex);
        const auto hold = heldUntil.find(static_cast<std::uint64_t>(atWork.key));
        if (isInGrant && hold != heldUntil.end() && Clock::now() < hold->second) {
          ++broken;
          record.line("granted-while-at-work",
                      { { "key", atWork.key },
                        { "id", atWork.requestId },
                        { "at_work", leaving.options().id },
                        { "granted_to", taker->options().id },
                        { "fence", fence },
                        { "fence_at_work", atWork.fence } });
        }
      }
    };
  }

  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    callers.emplace_back([&, i] {
      deployment.ask(*deployment.vms()[i % deployment.vms().size()],
                     "GET",
                     "/shelf/work/2200",
                     "work" + std::to_string(i),
                     3000,
                     keys[i]);
    });
  }
  sleepFor(0.3);
  // The answers to one round of renewals are sent again; the instance leaves right after it.
  std::atomic<bool> renewed{ false };
  leaving.lateBytes = [&](const std::string& path, const std::string& answer) -> std::string {
    if (path != "/v1/grant" || extra >= static_cast<int>(keys.size())) {
      return "";
    }
    ++extra;
    renewed = true;
    return isTroubled() ? answer : "";
  };
  for (int i = 0; !renewed && i < 2000; ++i) {
    sleepFor(0.001);
  }
  sleepFor(0.02);
  {
    const std::lock_guard lock(mutex);
    const auto holds = leaving.holds();
    for (const int key : keys) {
      heldUntil[static_cast<std::uint64_t>(key)] = holds[static_cast<std::size_t>(key)].until;
    }
  }
  leaving.drain();
  record.line("draining", { { "id", leaving.options().id }, { "answers", leaving.answers() } });
  for (std::thread& caller : callers) {
    caller.join();
  }
  sleepFor(1);
  record.line("summary",
              { { "grants_of_keys_at_work", broken.load() },
                { "extra_answers", isTroubled() ? extra.load() : 0 },
                { "answers", leaving.answers() } });
  if (isTroubled() && extra > kMaxShareOfExtraAnswers * leaving.answers()) {
    throw std::runtime_error("too many extra answers");
  }
  leaving.lateBytes = nullptr;
  for (const auto& server : deployment.servers()) {
    server->onGrantTaken = nullptr;
  }
  return broken > 0;
}

} // namespace

int main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
