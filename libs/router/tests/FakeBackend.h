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

constexpr std::chrono::seconds kWaitTimeout{ 10 };

inline base::TimePoint after(base::Duration duration)
{
  return base::SteadyClock().now() + duration;
}

// Polls until the condition holds. Returns false if it does not hold within kWaitTimeout.
inline bool eventually(const std::function<bool()>& condition)
{
  const base::TimePoint deadline = after(kWaitTimeout);
  while (!condition()) {
    if (base::SteadyClock().now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

// Blocks handlers until the test opens it, at most for kWaitTimeout.
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
    opened_.wait_for(lock, kWaitTimeout, [this] { return open_; });
  }

private:
  std::mutex mutex_;
  std::condition_variable opened_;
  bool open_ = false;
};

// One request as the backend server received it.
struct ReceivedRequest
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

// A backend server. The handler answers requests; their body has been read before.
class FakeBackend
{
public:
  using Handler = std::function<void(ServerRequest&, ServerResponse&)>;

  explicit FakeBackend(Handler handler = answerOk)
    : handler_(std::move(handler))
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

  static Handler refuseWith(const std::string& reason)
  {
    return [reason](ServerRequest&, ServerResponse& response) {
      response.setHeader(kOutcomeHeader, "not-run");
      response.setHeader(kReasonHeader, reason);
      response.send(503, "{}", "application/json");
    };
  }

  // Closes the connection after a part of an answer has been sent.
  static void truncateAnswer(ServerRequest&, ServerResponse& response)
  {
    response.begin(200, std::nullopt);
    response.write("a part");
  }

  // Closes the connection before any byte of an answer has been sent.
  static void closeWithoutAnswer(ServerRequest&, ServerResponse& response)
  {
    // The head of an answer with a short body stays buffered until the body is written.
    response.begin(200, 100);
  }

  void stop() { server_.stop(after(std::chrono::seconds(2))); }
  void setHandler(Handler handler)
  {
    std::lock_guard lock(mutex_);
    handler_ = std::move(handler);
  }
  std::vector<ReceivedRequest> received() const
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
  std::atomic<int> maxRunning{ 0 };

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
    for (int most = maxRunning; now > most && !maxRunning.compare_exchange_weak(most, now);) {
    }
    ReceivedRequest seen{ request.method(), request.target(), request.headers(), {} };
    seen.body = request.readBody(std::size_t(64) << 20).value_or("<truncated body>");
    Handler handler;
    {
      std::lock_guard lock(mutex_);
      received_.push_back(std::move(seen));
      handler = handler_;
    }
    handler(request, response);
    --running;
  }

  mutable std::mutex mutex_;
  Handler handler_;
  std::vector<ReceivedRequest> received_;
  std::vector<std::string> cancels_;
  transport::HttpServer server_;
};

} // namespace sycamore::router::testing
