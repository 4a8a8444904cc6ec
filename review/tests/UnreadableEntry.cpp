#include "Deployment.h"

// Another writer leaves an entry of kind `servers` whose bytes can't be read. It names no instance
// to use; the others hold. Then all processes of the entry VMs are killed and started again, as in
// a final fault. Of the requests sent later than recovery_s (15 s) after that, at least a quarter
// must be served.
namespace {

using namespace review;

constexpr const char* kMarker = "UNREADABLE-BYTES";
constexpr double kRecoverySeconds = 15;

double servedShare(Deployment& deployment, const std::string& name)
{
  constexpr int kRequests = 60;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto& vm = *deployment.vms()[static_cast<std::size_t>(i) % deployment.vms().size()];
    served +=
      deployment.ask(vm, "POST", "/order/work/20", name + std::to_string(i), 1500).status == 200;
    sleepFor(0.05);
  }
  return static_cast<double>(served) / kRequests;
}

bool run(const std::string& root, Record& record)
{
  Deployment deployment(root, record, {});
  deployment.store().onBody = [](const std::string&, std::string& body) {
    for (std::size_t at = body.find(kMarker); at != std::string::npos; at = body.find(kMarker)) {
      body.replace(at, std::string(kMarker).size(), "\xfe\xff\x80");
    }
  };
  if (!deployment.awaitService(25)) {
    throw std::runtime_error("the deployment didn't come into service");
  }
  if (isTroubled()) {
    deployment.store().put("servers", "i-foreign", { { "note", kMarker } }, nullptr);
    record.line("foreign-entry");
  }
  sleepFor(4);
  const double before = servedShare(deployment, "before");
  for (const auto& vm : deployment.vms()) {
    vm->signal(SIGKILL);
  }
  sleepFor(1);
  for (const auto& vm : deployment.vms()) {
    if (!vm->hasEnded()) {
      throw std::runtime_error("a process didn't end");
    }
    vm->start();
  }
  sleepFor(kRecoverySeconds + 1);
  int ready = 0;
  for (const auto& vm : deployment.vms()) {
    ready += deployment.isReady(*vm) ? 1 : 0;
  }
  const double afterwards = servedShare(deployment, "after");
  record.line("summary",
              { { "served_share_before", before },
                { "served_share_after", afterwards },
                { "ready_vms_after", ready } });
  return before >= 0.25 && afterwards < 0.25;
}

} // namespace

int main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
