#include <test_cluster/LoadGenerator.h>

#include <algorithm>

namespace sycamore::test_cluster {

namespace {

constexpr base::milliseconds kResendPause{ 20 };
constexpr std::size_t kMaxBodyBytes = 2000;
constexpr std::size_t kMaxEchoBytes = 20000;

} // namespace

LoadGenerator::LoadGenerator(const Balancer& balancer, Options options)
  : balancer_(balancer)
  , options_(std::move(options))
{
  for (unsigned i = 0; i < options_.threads; ++i) {
    threads_.emplace_back([this, i] { run(i); });
  }
}

LoadGenerator::~LoadGenerator()
{
  stop();
}

std::vector<CallRecord> LoadGenerator::stop()
{
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return records_;
}

void LoadGenerator::run(unsigned index)
{
  std::mt19937_64 random(options_.seed * 1000 + index);
  std::vector<CallRecord> records;
  while (!stopping_) {
    if (sendUntilServed(nextCall(random), random, records)) {
      ++served_;
    } else {
      ++failed_;
    }
    std::this_thread::sleep_for(options_.pause);
  }
  const std::lock_guard lock(mutex_);
  records_.insert(records_.end(), records.begin(), records.end());
}

Call LoadGenerator::nextCall(std::mt19937_64& random) const
{
  Call call;
  call.requestId = Caller::newRequestId();
  call.deadline = options_.deadline;
  const bool unkeyed = options_.sendUnkeyed && random() % 4 == 0;
  const bool idempotent = random() % 2 == 0;
  if (unkeyed) {
    call.service = "label";
    call.method = idempotent ? "browse" : "print";
  } else {
    call.service = "layout";
    call.method = idempotent ? "plan" : "reset";
    call.key = LoadGenerator::keyName(static_cast<unsigned>(random() % options_.keys));
  }
  call.body = std::string(random() % kMaxBodyBytes, static_cast<char>('a' + random() % 26));
  if (random() % 8 == 0) {
    call.echoBytes = random() % kMaxEchoBytes;
  }
  return call;
}

bool LoadGenerator::sendUntilServed(Call call,
                                    std::mt19937_64& random,
                                    std::vector<CallRecord>& records)
{
  for (unsigned sends = 0; sends < options_.attempts; ++sends) {
    const auto addresses = balancer_.ready();
    if (!addresses.empty()) {
      records.push_back(caller_.send(addresses[random() % addresses.size()], call));
      if (records.back().isServed()) {
        return true;
      }
      if (records.back().result != transport::ExchangeResult::NotSent) {
        ++call.attempt;
      }
    }
    std::this_thread::sleep_for(kResendPause);
  }
  return false;
}

} // namespace sycamore::test_cluster
