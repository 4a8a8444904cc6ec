#include "Deployment.h"

// The instances of a service are full and never answer what they can't take, as the pages allow.
// An entry VM that waits for them gets a SIGTERM. Each request that it has read must get a
// complete answer, since no instance is at work on it and its time isn't over.
namespace {

using namespace review;

bool run(const std::string& root, Record& record)
{
  Deployment::Sizes sizes;
  sizes.keyedServers = 0;
  sizes.slots = 2;
  sizes.silentWhenFull = true;
  sizes.timeoutSeconds = 6;
  Deployment deployment(root, record, sizes);
  if (!deployment.awaitService(25)) {
    throw std::runtime_error("the deployment didn't come into service");
  }
  sleepFor(4);
  EntryVm& stopped = *deployment.vms()[0];
  EntryVm& other = *deployment.vms()[1];
  const auto began = Clock::now();
  if (isTroubled()) {
    stopped.signal(SIGTERM);
  }
  // Requests through another entry VM take all slots for some seconds.
  std::vector<std::thread> callers;
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back([&, i] {
      deployment.ask(other, "POST", "/order/work/4500", "long" + std::to_string(i), 6000);
    });
  }
  sleepFor(0.6);
  std::atomic<int> lost{ 0 };
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      const std::string id = "order" + std::to_string(i);
      const auto sentAt = Clock::now();
      const Answer answer = deployment.ask(stopped, "POST", "/order/work/300", id, 6000);
      const auto endedAt = Clock::now();
      int runs = 0;
      for (const auto& server : deployment.servers()) {
        runs += server->runs().contains(id) ? 1 : 0;
      }
      const double lasted = std::chrono::duration<double>(endedAt - sentAt).count();
      const bool isLost = !answer.complete && answer.end != "not connected" && runs == 0 &&
                          lasted > 0.2 && lasted < 5.9;
      lost += isLost ? 1 : 0;
      record.line(
        "outcome",
        { { "id", id },
          { "sent_after_sigterm_s", std::chrono::duration<double>(sentAt - began).count() },
          { "ended_after_sigterm_s", std::chrono::duration<double>(endedAt - began).count() },
          { "runs", runs },
          { "status", answer.status },
          { "lost", isLost } });
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.line("summary", { { "lost", lost.load() } });
  return lost > 0;
}

} // namespace

int main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
