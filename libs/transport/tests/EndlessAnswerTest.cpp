#include "RawServer.h"

#include <base/Time.h>
#include <doctest/doctest.h>
#include <transport/HttpClientPool.h>

using namespace sycamore;
using namespace sycamore::transport;

namespace {

// More than a client may keep of an answer that isn't one.
constexpr std::size_t kEnoughBytes = 8UL * 1024 * 1024;

} // namespace

// Guards against a process that runs out of memory by an answer without end.
TEST_CASE("bytes without end in a head or between chunks end the exchange after some kilobytes")
{
  const std::string filler(4096, 'x');
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> answers = {
    { "", filler },
    { "HTTP/1.1 200 OK\r\nX-Filler: ", filler },
    { "HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n" },
    { chunked + "1;x=", filler },
  };
  for (const auto& [begin, endless] : answers) {
    CAPTURE(begin);
    RawServer server(begin, endless);
    FaultSwitch faults;
    HttpClientPool pool({}, faults);
    ClientRequest request;
    request.path = "/v1/layout/plan";
    const BufferedResponse response =
      pool.fetch(server.address(), request, base::SteadyClock().now() + std::chrono::seconds(10));
    CHECK(response.result != ExchangeResult::Complete);
    CHECK(server.sentBytes() < kEnoughBytes);
  }
}

// Guards against a meaningless status that is passed on to a caller or taken for an answer.
TEST_CASE("a status that no answer has leaves the outcome of an exchange unknown")
{
  for (const char* const status : { "000", "099", "101", "600", "999" }) {
    CAPTURE(status);
    RawServer server("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\n", "ok");
    FaultSwitch faults;
    HttpClientPool pool({}, faults);
    ClientRequest request;
    request.path = "/v1/layout/plan";
    const BufferedResponse response =
      pool.fetch(server.address(), request, base::SteadyClock().now() + std::chrono::seconds(10));
    CHECK(response.result == ExchangeResult::ConnectionLost);
  }
}
