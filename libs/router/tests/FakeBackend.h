#pragma once

#include <base/Time.h>
#include <router/Headers.h>
#include <transport/HttpServer.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::router::testing {

using base::milliseconds;
using transport::HeaderList;
using transport::ServerRequest;
using transport::ServerResponse;

constexpr std::chrono::seconds kPatience{ 10 };

inline base::TimePoint after(base::Duration duration)
{
  return base::SteadyClock().now() + duration;
}

// Polls until the condition holds; false when it does not within kPatience.
inline bool eventually(const std::function<bool()>& condition)
{
  const base::TimePoint deadline = after(kPatience);
  while (!condition()) {
    if (base::SteadyClock().now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

// Blocks handlers until the test opens it, at most for kPatience.
class Barrier
{
public:
  ~Barrier() { open(); }

  void open()
  {
    std::lock_guard lock(mutex_);
    open_ = true;
    opened_.notify_all();
  }

  void wait()
  {
    std::unique_lock lock(mutex_);
    opened_.wait_for(lock, kPatience, [this] { return open_; });
  }

private:
  std::mutex mutex_;
  std::condition_variable opened_;
  bool open_ = false;
};

// One request as the backend server received it.
struct Received
{
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;

  std::optional<std::string> header(const std::string& name) const
  {
    for (const auto& [key, value] : headers) {
      if (std::equal(key.begin(), key.end(), name.begin(), name.end(), [](char a, char b) {
            return std::tolower(a) == std::tolower(b);
          })) {
        return value;
      }
    }
    return std::nullopt;
  }
};

// A backend server. `work` answers requests; the body is read before.
class FakeBackend
{
public:
  using Work = std::function<void(ServerRequest&, ServerResponse&)>;

  explicit FakeBackend(Work work = answerOk)
    : work_(std::move(work))
    , server_({}, [this](ServerRequest& request, ServerResponse& response) {
      handle(request, response);
    })
  {
    address = server_.bind({ "127.0.0.1", 0 }).toString();
    server_.start();
  }
  ~FakeBackend() { stop(); }

  static void answerOk(ServerRequest&, ServerResponse& response)
  {
    response.send(200, "done", "text/plain");
  }

  static Work refuseWith(const std::string& reason)
  {
    return [reason](ServerRequest&, ServerResponse& response) {
      response.setHeader(kOutcomeHeader, "not-run");
      response.setHeader(kReasonHeader, reason);
      response.send(503, "{}", "application/json");
    };
  }

  // Closes the connection after a part of an answer was sent.
  static void breakOff(ServerRequest&, ServerResponse& response)
  {
    response.begin(200, std::nullopt);
    response.write("a part");
  }

  // Closes the connection without any byte of an answer.
  static void hangUp(ServerRequest&, ServerResponse& response)
  {
    // The head of a short answer stays buffered until its body is written.
    response.begin(200, 100);
  }

  void stop() { server_.stop(after(std::chrono::seconds(2))); }
  void setWork(Work work)
  {
    std::lock_guard lock(mutex_);
    work_ = std::move(work);
  }
  std::vector<Received> received() const
  {
    std::lock_guard lock(mutex_);
    return received_;
  }
  std::size_t count() const { return received().size(); }
  std::vector<std::string> cancels() const
  {
    std::lock_guard lock(mutex_);
    return cancels_;
  }

  std::string address;
  std::atomic<bool> confirmsCancel{ true };
  std::atomic<int> running{ 0 };
  std::atomic<int> mostRunning{ 0 };

private:
  void handle(ServerRequest& request, ServerResponse& response)
  {
    if (request.path() == "/sycamore/cancel") {
      const auto body = nlohmann::json::parse(request.readBody(std::size_t(4096)).value_or("{}"));
      {
        std::lock_guard lock(mutex_);
        cancels_.push_back(body.value("request_id", ""));
      }
      response.send(
        200, nlohmann::json{ { "cancelled", confirmsCancel.load() } }.dump(), "application/json");
      return;
    }
    const int now = ++running;
    for (int most = mostRunning; now > most && !mostRunning.compare_exchange_weak(most, now);) {
    }
    Received seen{ request.method(), request.target(), request.headers(), {} };
    seen.body = request.readBody(std::size_t(64) << 20).value_or("<broken off>");
    Work work;
    {
      std::lock_guard lock(mutex_);
      received_.push_back(std::move(seen));
      work = work_;
    }
    work(request, response);
    --running;
  }

  mutable std::mutex mutex_;
  Work work_;
  std::vector<Received> received_;
  std::vector<std::string> cancels_;
  transport::HttpServer server_;
};

} // namespace sycamore::router::testing
