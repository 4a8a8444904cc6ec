#include <base/Time.h>
#include <doctest/doctest.h>
#include <transport/HttpClientPool.h>
#include <transport/HttpServer.h>

#include <atomic>
#include <thread>

using namespace sycamore;
using namespace sycamore::transport;

// Guards against a cancellation that uses the connection of a finished exchange after the pool has
// closed it. The address sanitizer detects such a use.
TEST_CASE("a cancellation at the end of an exchange leaves its closed connection alone")
{
  constexpr int kExchanges = 1000;
  HttpServer server({}, [](ServerRequest&, ServerResponse& response) {
    response.send(200, "answer", "text/plain");
  });
  const std::string address = server.bind({ "127.0.0.1", 0 }).toString();
  server.start();
  FaultSwitch faults;
  ClientPoolLimits limits;
  limits.maxIdlePerAddress = 0;
  HttpClientPool pool(limits, faults);
  ClientRequest request;
  request.path = "/v1/layout/plan";
  for (int i = 0; i < kExchanges; ++i) {
    CancelHandle cancel;
    std::atomic<bool> answered{ false };
    std::atomic<bool> finished{ false };
    std::thread canceller([&] {
      while (!finished) {
        if (answered) {
          cancel.cancel();
        }
      }
    });
    const ResponseReceiver receiver{ [](const ResponseHead&) { return true; },
                                     [&](std::string_view) {
                                       answered = true;
                                       return true;
                                     } };
    const auto deadline = base::SteadyClock().now() + std::chrono::seconds(10);
    pool.exchange(address, request, receiver, deadline, &cancel);
    finished = true;
    canceller.join();
  }
  CHECK(server.stop(base::SteadyClock().now() + std::chrono::seconds(10)));
}
