#include <test_cluster/KeyProbe.h>

#include <algorithm>
#include <test_process/WaitUntil.h>

namespace sycamore::test_cluster {

namespace {

constexpr base::milliseconds kRequestInterval{ 10 };
// Bounds the wait for the answer to a request that was in transit to a server or entry VM when it
// was lost.
constexpr base::milliseconds kRequestDeadline{ 300 };

} // namespace

KeyProbe::KeyProbe(const Balancer& balancer, const std::vector<std::string>& keys)
  : balancer_(balancer)
  , records_(keys.size())
{
  for (std::size_t i = 0; i < keys.size(); ++i) {
    threads_.emplace_back([this, i, key = keys[i]] { run(i, key); });
  }
}

KeyProbe::~KeyProbe()
{
  stop();
}

std::int64_t KeyProbe::nowNs()
{
  return base::SteadyClock().now().time_since_epoch().count();
}

std::vector<CallRecord> KeyProbe::stop()
{
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  std::vector<CallRecord> all;
  for (const auto& records : records_) {
    all.insert(all.end(), records.begin(), records.end());
  }
  return all;
}

void KeyProbe::run(std::size_t index, const std::string& key)
{
  std::size_t next = index;
  while (!stopping_) {
    const auto addresses = balancer_.ready();
    if (!addresses.empty()) {
      Call call;
      call.service = "layout";
      call.method = "plan";
      call.key = key;
      call.requestId = Caller::newRequestId();
      call.deadline = kRequestDeadline;
      const CallRecord record = caller_.send(addresses[next++ % addresses.size()], call);
      const std::lock_guard lock(mutex_);
      records_[index].push_back(record);
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
}

std::vector<double> KeyProbe::recoveryMs(std::int64_t sinceNs,
                                         const std::string& lostServer,
                                         base::Duration timeout) const
{
  std::vector<double> recovery;
  const auto measure = [&] {
    const std::lock_guard lock(mutex_);
    recovery.clear();
    bool complete = true;
    for (const auto& records : records_) {
      const auto first = std::find_if(records.begin(), records.end(), [&](const CallRecord& call) {
        return call.sentNs >= sinceNs && call.isServed() && call.server != lostServer;
      });
      complete = complete && first != records.end();
      recovery.push_back(first == records.end()
                           ? std::chrono::duration<double, std::milli>(timeout).count()
                           : static_cast<double>(first->receivedNs - sinceNs) / 1e6);
    }
    return complete;
  };
  test_process::waitUntil(measure, timeout);
  return recovery;
}

} // namespace sycamore::test_cluster
