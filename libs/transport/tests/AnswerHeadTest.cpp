#include "RawServer.h"

#include <base/Time.h>
#include <base_testing/FaultyHeads.h>
#include <doctest/doctest.h>
#include <transport/HttpClientPool.h>

using namespace sycamore;
using namespace sycamore::transport;

namespace {

constexpr std::chrono::seconds kPatience{ 3 };

BufferedResponse fetchFrom(const RawServer& server, std::string body = "")
{
  const FaultSwitch faults;
  HttpClientPool pool({}, faults);
  ClientRequest request;
  request.path = "/v1/layout/plan";
  request.body = std::move(body);
  return pool.fetch(server.address(), request, base::SteadyClock().now() + kPatience);
}

} // namespace

// Guards against a body that isn't the server's, and against header lines that are dropped or
// passed on although another reader takes them otherwise.
TEST_CASE("an answer with a head that can't be taken leaves the outcome of an exchange unknown")
{
  for (const std::string& rest : base::testing::faultyHeads()) {
    CAPTURE(rest);
    const RawServer server("HTTP/1.1 200 OK\r\nDate: x\r\n" + rest);
    CHECK(fetchFrom(server).result == ExchangeResult::ConnectionLost);
  }
}

TEST_CASE("an answer whose coding is chunked alone is complete")
{
  for (const char* const coding : { "chunked", "Chunked", " chunked " }) {
    CAPTURE(coding);
    const RawServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding:" + std::string(coding) +
                           "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    const BufferedResponse response = fetchFrom(server);
    CHECK(response.result == ExchangeResult::Complete);
    CHECK(response.body == "ok");
  }
}

// Guards against a part of a body that counts as a whole answer because the upload failed first.
TEST_CASE("an answer without a length before a reset isn't complete, however long the upload is")
{
  for (const std::size_t upload : { std::size_t(10), std::size_t(16) * 1024 * 1024 }) {
    CAPTURE(upload);
    const RawServer server("HTTP/1.1 200 OK\r\n\r\npart", "", RawServer::End::Reset);
    CHECK(fetchFrom(server, std::string(upload, 'u')).result != ExchangeResult::Complete);
  }
}
