#include "LoadRun.h"

#include <requests/Uuid7.h>

#include <cmath>
#include <random>
#include <thread>

namespace sycamore::load_tool {

using base::SteadyClock;
using transport::ExchangeResult;

namespace {

std::discrete_distribution<std::uint32_t> keyDistribution(std::size_t keys, double zipf)
{
  std::vector<double> weights;
  for (std::size_t rank = 1; rank <= keys; ++rank) {
    weights.push_back(1.0 / std::pow(static_cast<double>(rank), zipf));
  }
  return std::discrete_distribution<std::uint32_t>(weights.begin(), weights.end());
}

requests::WallTime wallTime()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::string headerOr(const transport::BufferedResponse& response, const char* name)
{
  return response.head.header(name).value_or("");
}

} // namespace

LoadRun::LoadRun(LoadOptions options)
  : options_(std::move(options))
  , clients_({}, faults_)
{
}

std::vector<LoadSample> LoadRun::run()
{
  end_ = SteadyClock().now() + options_.duration;
  std::vector<std::vector<LoadSample>> perThread(options_.threads);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < options_.threads; ++i) {
    threads.emplace_back([this, i, &perThread] { perThread[i] = runThread(i); });
  }
  std::vector<LoadSample> all;
  for (std::size_t i = 0; i < options_.threads; ++i) {
    threads[i].join();
    all.insert(all.end(), perThread[i].begin(), perThread[i].end());
  }
  return all;
}

std::vector<LoadSample> LoadRun::runThread(std::size_t index)
{
  std::mt19937_64 random(options_.seed + index);
  auto keys = keyDistribution(options_.keys, options_.zipf);
  std::vector<LoadSample> samples;
  std::size_t next = index;
  while (SteadyClock().now() < end_) {
    const std::string& target = options_.targets[next++ % options_.targets.size()];
    const std::uint32_t key = keys(random);
    samples.push_back(sendOne(key, target, random()));
    if (samples.back().outcome == "broken") {
      // A caller whose connection was lost switches to another entry VM.
      ++next;
    }
    if (options_.pause > base::Duration::zero()) {
      std::this_thread::sleep_for(options_.pause);
    }
  }
  return samples;
}

LoadSample LoadRun::sendOne(std::uint32_t key, const std::string& target, std::uint64_t random)
{
  std::mt19937_64 idBits(random);
  transport::ClientRequest request;
  request.path = "/v1/" + options_.service + "/" + options_.method;
  request.body = std::string(options_.bodyBytes, 'x');
  request.headers = {
    { "Sycamore-Key", "key-" + std::to_string(key) },
    { "Sycamore-Request-Id", requests::Uuid7::make(wallTime(), idBits).toRequestId().value() },
    { "Sycamore-Deadline-Ms",
      std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(options_.deadline).count()) },
  };
  LoadSample sample;
  sample.key = key;
  sample.startedAt = SteadyClock().now();
  const auto response = clients_.fetch(
    target, request, sample.startedAt + options_.deadline + std::chrono::milliseconds(500));
  sample.endedAt = SteadyClock().now();
  if (response.result != ExchangeResult::Complete) {
    sample.outcome = "broken";
    return sample;
  }
  sample.outcome = headerOr(response, "sycamore-outcome");
  sample.reason = headerOr(response, "sycamore-reason");
  sample.server = headerOr(response, "sycamore-server");
  return sample;
}

} // namespace sycamore::load_tool
