#include <control/ControlIo.h>

namespace sycamore::control {

ControlIo::ControlIo(transport::HttpClientPool& clients,
                     ControlThread& control,
                     std::size_t maxThreads)
  : clients_(clients)
  , control_(control)
  , maxThreads_(maxThreads)
{
}

ControlIo::~ControlIo()
{
  stop();
}

void ControlIo::post(const std::string& address,
                     const std::string& path,
                     std::string body,
                     base::TimePoint deadline,
                     Done done,
                     transport::ConnectionUse use)
{
  transport::ClientRequest request;
  request.connectionUse = use;
  request.path = path;
  request.body = std::move(body);
  request.headers.emplace_back("Content-Type", "application/json");
  send(address, std::move(request), deadline, std::move(done));
}

void ControlIo::send(std::string address,
                     transport::ClientRequest request,
                     base::TimePoint deadline,
                     Done done)
{
  {
    std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    jobs_.push_back({ std::move(address), std::move(request), deadline, std::move(done) });
    if (jobs_.size() > idle_ && threads_.size() < maxThreads_) {
      threads_.emplace_back([this] { run(); });
    }
  }
  wakeUp_.notify_one();
}

void ControlIo::stop()
{
  std::vector<std::thread> threads;
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    jobs_.clear();
    threads.swap(threads_);
  }
  wakeUp_.notify_all();
  for (auto& thread : threads) {
    thread.join();
  }
}

void ControlIo::run()
{
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    wakeUp_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    --idle_;
    if (stopping_) {
      return;
    }
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    auto response = std::make_shared<transport::BufferedResponse>(
      clients_.fetch(job.address, job.request, job.deadline));
    control_.post([response, done = std::move(job.done)] { done(*response); });
    lock.lock();
  }
}

} // namespace sycamore::control
