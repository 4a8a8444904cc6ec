#include <test_cluster/Balancer.h>

#include <transport/FaultSwitch.h>
#include <transport/HttpClientPool.h>

namespace sycamore::test_cluster {

namespace {

constexpr base::milliseconds kProbeInterval{ 50 };
// Short, so that a paused entry VM is removed from the ready list quickly.
constexpr base::milliseconds kProbeTimeout{ 250 };

} // namespace

Balancer::Balancer()
  : thread_([this] { run(); })
{
}

Balancer::~Balancer()
{
  stopping_ = true;
  thread_.join();
}

void Balancer::setAddress(const std::string& vm, const std::string& callerAddress)
{
  const std::lock_guard lock(mutex_);
  addresses_[vm] = callerAddress;
}

void Balancer::remove(const std::string& vm)
{
  const std::lock_guard lock(mutex_);
  if (const auto found = addresses_.find(vm); found != addresses_.end()) {
    std::erase(ready_, found->second);
    addresses_.erase(found);
  }
}

std::vector<std::string> Balancer::ready() const
{
  const std::lock_guard lock(mutex_);
  return ready_;
}

void Balancer::run()
{
  const transport::FaultSwitch faults;
  transport::HttpClientPool clients({}, faults);
  transport::ClientRequest probe;
  probe.method = "GET";
  probe.path = "/readyz";
  while (!stopping_) {
    std::map<std::string, std::string> probed;
    {
      const std::lock_guard lock(mutex_);
      probed = addresses_;
    }
    for (const auto& [vm, address] : probed) {
      const bool isReady =
        clients.fetch(address, probe, base::SteadyClock().now() + kProbeTimeout).ok();
      const std::lock_guard lock(mutex_);
      std::erase(ready_, address);
      const auto found = addresses_.find(vm);
      if (isReady && found != addresses_.end() && found->second == address) {
        ready_.push_back(address);
      }
    }
    std::this_thread::sleep_for(kProbeInterval);
  }
}

} // namespace sycamore::test_cluster
