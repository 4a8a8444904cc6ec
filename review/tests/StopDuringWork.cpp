#include "Deployment.h"

// An entry VM gets a SIGTERM. Requests that it takes over 3 s later, on connections that it has
// kept open, are passed on to instances that work on them for some seconds. Each of these requests
// must get a complete answer.
namespace {

using namespace review;

bool run(const std::string& root, Record& record)
{
  Deployment::Sizes sizes;
  sizes.keyedServers = 0;
  sizes.timeoutSeconds = 4;
  Deployment deployment(root, record, sizes);
  if (!deployment.awaitService(25)) {
    throw std::runtime_error("the deployment didn't come into service");
  }
  sleepFor(4);
  EntryVm& vm = *deployment.vms().front();
  constexpr int kRequests = 4;
  std::vector<std::shared_ptr<Channel>> channels;
  for (int i = 0; i < kRequests; ++i) {
    channels.push_back(connectTo(vm.ip, vm.frontPort));
    const Answer answer = deployment.ask(
      vm, "POST", "/order/work/20", "first" + std::to_string(i), 2000, -1, channels.back());
    if (answer.status != 200) {
      throw std::runtime_error("a request before the SIGTERM wasn't served");
    }
  }
  if (isTroubled()) {
    vm.signal(SIGTERM);
  }
  const double stoppedAt = record.now();
  std::atomic<int> lost{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back([&, i] {
      sleepFor(3.04 + 0.03 * i);
      const std::string id = "order" + std::to_string(i);
      const double sentAfter = record.now() - stoppedAt;
      const Answer answer = deployment.ask(
        vm, "POST", "/order/work/3200", id, 8000, -1, channels[static_cast<std::size_t>(i)]);
      int runs = 0;
      for (const auto& server : deployment.servers()) {
        const auto counts = server->runs();
        const auto found = counts.find(id);
        runs += found == counts.end() ? 0 : found->second;
      }
      const bool isLost = sentAfter > 3 && runs > 0 && !answer.complete;
      lost += isLost ? 1 : 0;
      record.line("outcome",
                  { { "id", id },
                    { "sent_after_sigterm_s", sentAfter },
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
