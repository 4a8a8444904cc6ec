#include <base/Time.h>
#include <base_testing/FaultyHeads.h>
#include <doctest/doctest.h>
#include <transport/HttpClientPool.h>
#include <transport/HttpServer.h>

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace sycamore;
using namespace sycamore::transport;

namespace {

base::TimePoint secondsFromNow(int seconds)
{
  return base::SteadyClock().now() + std::chrono::seconds(seconds);
}

// A raw client connection, which can send bytes that an HTTP client never sends.
class RawConnection
{
public:
  explicit RawConnection(int port)
    : fd_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval timeout{ 10, 0 };
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    REQUIRE(::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  }

  ~RawConnection() { ::close(fd_); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void send(const std::string& bytes) { ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

  // Reads until the server closes the connection.
  std::string readAll()
  {
    std::string all;
    char buffer[4096];
    for (ssize_t n = 0; (n = ::recv(fd_, buffer, sizeof(buffer), 0)) > 0;) {
      all.append(buffer, static_cast<std::size_t>(n));
    }
    return all;
  }

private:
  int fd_;
};

std::size_t countOccurrences(const std::string& text, const std::string& part)
{
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

struct Fixture
{
  explicit Fixture(ServerHandler handler, ServerLimits limits = {})
    : server(limits, std::move(handler))
    , bound(server.bind({ "127.0.0.1", 0 }))
  {
    server.start();
  }

  BufferedResponse post(const std::string& path, std::string body)
  {
    ClientRequest request;
    request.path = path;
    request.body = std::move(body);
    return pool.fetch(bound.toString(), request, secondsFromNow(10));
  }

  FaultSwitch faults;
  HttpClientPool pool{ {}, faults };
  HttpServer server;
  HostPort bound;
};

void echo(ServerRequest& request, ServerResponse& response)
{
  const auto body = request.readBody(std::size_t(1) << 20);
  response.send(200, body.value_or("broken"), "text/plain");
}

} // namespace

// Guards against lost or swapped bodies of answers on a keep-alive connection.
TEST_CASE("each request on a connection gets its own complete answer")
{
  Fixture fixture(echo);
  for (int i = 0; i < 200; ++i) {
    const std::string body = std::string(static_cast<std::size_t>(i) * 37, 'x') + std::to_string(i);
    const auto response = fixture.post("/echo", body);
    REQUIRE(response.ok());
    CHECK(response.body == body);
  }
}

// Guards against uploads or downloads that are buffered in memory or truncated.
TEST_CASE("request and response bodies are streamed, with and without a length")
{
  constexpr std::size_t kPart = 65536;
  constexpr std::size_t kParts = 320;
  Fixture fixture([](ServerRequest& request, ServerResponse& response) {
    std::size_t received = 0;
    request.readBody([&](std::string_view part) {
      received += part.size();
      return true;
    });
    response.begin(200, std::nullopt);
    const std::string part(kPart, 'r');
    for (std::size_t sent = 0; sent < received; sent += kPart) {
      response.write(part);
    }
    response.end();
  });
  for (const bool chunked : { false, true }) {
    ClientRequest request;
    request.path = "/stream";
    request.bodySource = [](const BodyWriter& write) {
      const std::string part(kPart, 's');
      for (std::size_t i = 0; i < kParts; ++i) {
        if (!write(part)) {
          return false;
        }
      }
      return true;
    };
    if (!chunked) {
      request.bodyLength = kPart * kParts;
    }
    std::size_t received = 0;
    ResponseReceiver receiver{ [](const ResponseHead&) { return true; },
                               [&](std::string_view part) {
                                 received += part.size();
                                 return true;
                               } };
    const auto result =
      fixture.pool.exchange(fixture.bound.toString(), request, receiver, secondsFromNow(20));
    CHECK(result == ExchangeResult::Complete);
    CHECK(received == kPart * kParts);
  }
}

// Guards against a truncated answer that the client takes for a complete one.
TEST_CASE("a truncated answer is not complete")
{
  for (const bool chunked : { false, true }) {
    Fixture fixture([chunked](ServerRequest&, ServerResponse& response) {
      response.begin(200, chunked ? std::nullopt : std::optional<std::size_t>(1000));
      response.write("only a part");
    });
    CHECK(fixture.post("/", "").result == ExchangeResult::ConnectionLost);
  }
}

// Guards against request smuggling, where bytes of one request are read as another request.
TEST_CASE("requests with ambiguous framing are refused and the connection is closed")
{
  std::atomic<int> handled{ 0 };
  Fixture fixture([&](ServerRequest& request, ServerResponse& response) {
    ++handled;
    echo(request, response);
  });
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
  std::vector<std::string> heads = {
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 38\r\n\r\n",
    "nonsense\r\n\r\n",
  };
  for (const std::string& rest : base::testing::faultyHeads()) {
    heads.push_back("POST /a HTTP/1.1\r\nHost: a\r\n" + rest);
  }
  for (const auto& head : heads) {
    RawConnection connection(fixture.bound.port);
    connection.send(head + smuggled);
    const std::string answer = connection.readAll();
    CHECK_MESSAGE(countOccurrences(answer, "HTTP/1.1") == 1, head);
    CHECK(answer.starts_with("HTTP/1.1 4"));
  }
  CHECK(handled == 0);
}

// Guards against a refused request whose body stays on the connection and is read as the next
// request.
TEST_CASE("an unread body is never read as the next request")
{
  Fixture fixture(
    [](ServerRequest&, ServerResponse& response) { response.send(503, "refused", "text/plain"); });
  RawConnection connection(fixture.bound.port);
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
  connection.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                  std::to_string(smuggled.size()) + "\r\n\r\n" + smuggled);
  CHECK(countOccurrences(connection.readAll(), "HTTP/1.1") == 1);
}

// Guards against a refusal that the client never receives, because the connection is reset while
// the client is still sending its body.
TEST_CASE("an answer sent before a long body has arrived reaches the client")
{
  constexpr int kUnavailable = 503;
  constexpr std::size_t kBody = 30'000'000;
  Fixture fixture([](ServerRequest&, ServerResponse& response) {
    response.send(kUnavailable, "not here\n", "text/plain");
  });
  for (int i = 0; i < 3; ++i) {
    const BufferedResponse response = fixture.post("/v1/layout/plan", std::string(kBody, 'x'));
    CHECK(response.result == ExchangeResult::Complete);
    CHECK(response.head.status == kUnavailable);
  }
}

// Guards against a handler that waits for a body that it has already read. Refusals read and
// discard the body, so a forwarded request that was refused after its body was read blocked until
// its deadline.
TEST_CASE("reading a body a second time returns at once")
{
  Fixture fixture([](ServerRequest& request, ServerResponse& response) {
    const auto body = request.readBody(100);
    const bool again = request.readBody([](std::string_view) { return true; });
    response.send(again ? 200 : 500, body.value_or(""), "text/plain");
  });
  const auto response = fixture.post("/", "body");
  CHECK(response.ok());
  CHECK(response.body == "body");
}

// Guards against a key that changes at each hop, since cpp-httplib decodes %XX in header values.
TEST_CASE("header values arrive as they were sent")
{
  Fixture fixture([](ServerRequest& request, ServerResponse& response) {
    response.send(200, request.header("Sycamore-Key").value_or(""), "text/plain");
  });
  for (const char* key : { "a%20b%25", "plain", "50%", "%zz", "%2525" }) {
    ClientRequest request;
    request.path = "/";
    request.headers = { { "Sycamore-Key", key }, { "Other", "x%41" } };
    CHECK(fixture.pool.fetch(fixture.bound.toString(), request, secondsFromNow(10)).body == key);
  }
}

// Guards against an empty answer with status 200, which cpp-httplib would send by default.
TEST_CASE("a request that its handler does not answer gets status 500")
{
  Fixture fixture([](ServerRequest&, ServerResponse&) {});
  CHECK(fixture.post("/", "").head.status == 500);
}

// Guards against an exception on a malformed address, after which the request would keep its slot.
TEST_CASE("a request to a malformed address is not sent")
{
  Fixture fixture(echo);
  CHECK(fixture.pool.fetch("nowhere", ClientRequest(), secondsFromNow(1)).result ==
        ExchangeResult::NotSent);
}

// Guards against unbounded memory use by a request head.
TEST_CASE("an oversized head is refused with 431")
{
  Fixture fixture(echo);
  RawConnection connection(fixture.bound.port);
  connection.send("GET /" + std::string(100000, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(connection.readAll().starts_with("HTTP/1.1 431"));
}

// Guards against idle connections that occupy all worker threads.
TEST_CASE("idle connections occupy no worker thread")
{
  ServerLimits limits;
  limits.maxConcurrent = 2;
  Fixture fixture(echo, limits);
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (int i = 0; i < 100; ++i) {
    idle.push_back(std::make_unique<RawConnection>(fixture.bound.port));
  }
  CHECK(fixture.post("/echo", "served").body == "served");
}

// Guards against a graceful stop that aborts a request in flight.
TEST_CASE("a stop waits for the request in flight")
{
  std::atomic<bool> entered{ false };
  Fixture fixture([&](ServerRequest& request, ServerResponse& response) {
    entered = true;
    const auto until = base::SteadyClock().now() + std::chrono::milliseconds(200);
    while (base::SteadyClock().now() < until) {
      std::this_thread::yield();
    }
    echo(request, response);
  });
  BufferedResponse response;
  std::thread caller([&] { response = fixture.post("/echo", "slow"); });
  const auto limit = secondsFromNow(10);
  while (!entered && base::SteadyClock().now() < limit) {
    std::this_thread::yield();
  }
  CHECK(fixture.server.stop(secondsFromNow(10)));
  caller.join();
  CHECK(response.body == "slow");
}

// Guards against a request that is reported as sent although the address can't be reached.
TEST_CASE(
  "a request to an unreachable address is not sent, and one to a stopped server not answered")
{
  Fixture fixture(echo);
  fixture.faults.setUnreachable({ fixture.bound.toString() });
  CHECK(fixture.post("/echo", "x").result == ExchangeResult::NotSent);
  fixture.faults.setUnreachable({});
  CHECK(fixture.post("/echo", "x").ok());
  CHECK(fixture.server.stop(secondsFromNow(10)));
  const auto afterStop = fixture.post("/echo", "x").result;
  CHECK(afterStop != ExchangeResult::Complete);
}

// Guards against a client that waits without end on a connection that accepts bytes and never
// answers.
TEST_CASE("an exchange with an unresponsive server ends at the deadline or when it is cancelled")
{
  std::atomic<bool> release{ false };
  Fixture fixture([&](ServerRequest& request, ServerResponse& response) {
    while (!release) {
      std::this_thread::yield();
    }
    echo(request, response);
  });
  ClientRequest request;
  request.path = "/silent";
  CHECK(fixture.pool
          .fetch(fixture.bound.toString(),
                 request,
                 base::SteadyClock().now() + std::chrono::milliseconds(100))
          .result == ExchangeResult::TimedOut);

  CancelHandle cancel;
  ExchangeResult result = ExchangeResult::Complete;
  ResponseReceiver receiver{ [](const ResponseHead&) { return true; },
                             [](std::string_view) { return true; } };
  std::thread caller([&] {
    result = fixture.pool.exchange(
      fixture.bound.toString(), request, receiver, secondsFromNow(10), &cancel);
  });
  while (fixture.server.inFlight() < 2) {
    std::this_thread::yield();
  }
  cancel.cancel();
  caller.join();
  CHECK(result == ExchangeResult::ConnectionLost);
  release = true;
}
