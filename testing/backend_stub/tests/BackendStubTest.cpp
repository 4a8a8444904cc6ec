#include <backend_stub/EchoPattern.h>
#include <base/KeyHash.h>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <test_process/TestProcess.h>
#include <test_process/WaitUntil.h>
#include <thread>

using namespace sycamore;
using namespace std::chrono_literals;
using nlohmann::json;
using test_process::waitUntil;

namespace {

// A backend stub with a grant for shards 0 to 15 under term 1.
struct StubProcess
{
  explicit StubProcess(const std::vector<std::string>& flags = {})
    : process(BACKEND_STUB, flags)
    , port(process.waitPort(10s))
    , control("127.0.0.1", port)
  {
    control.set_keep_alive(true);
  }

  json post(const std::string& path, const json& body)
  {
    return json::parse(control.Post(path, body.dump(), "application/json")->body);
  }

  json sendGrant(std::int64_t echo, int ttlMs)
  {
    return post("/sycamore/grant",
                { { "holder", "vm-a1" },
                  { "term", 1 },
                  { "generation", 1 },
                  { "echo_ns", echo },
                  { "ttl_ms", ttlMs },
                  { "service", "layout" },
                  { "shards", "0-15" } });
  }

  void grant(int ttlMs = 60000)
  {
    const json probe = sendGrant(lastEcho, ttlMs);
    lastEcho = probe.at("server_time_ns").get<std::int64_t>();
    REQUIRE(sendGrant(lastEcho, ttlMs).at("accepted") == true);
  }

  json stats() { return json::parse(control.Get("/stats")->body); }
  json journal() { return json::parse(control.Get("/journal")->body); }
  bool running(std::size_t count) { return stats().at("in_flight") == count; }

  test_process::TestProcess process;
  int port;
  httplib::Client control;
  std::int64_t lastEcho = 0;
};

httplib::Headers headersOf(const std::string& requestId, const httplib::Headers& more = {})
{
  httplib::Headers headers{ { "Sycamore-Request-Id", requestId },
                            { "Sycamore-Service", "layout" },
                            { "Sycamore-Method", "plan" },
                            { "Sycamore-Key", "store-1" },
                            { "Sycamore-Shard", "3" },
                            { "Sycamore-Term", "1" } };
  headers.insert(more.begin(), more.end());
  return headers;
}

httplib::Result send(int port, const httplib::Headers& headers, const std::string& body = "x")
{
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(20s);
  return client.Post("/v1/layout/plan", headers, body, "text/plain");
}

std::uint64_t peakMemoryKb(pid_t pid)
{
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoull(line.substr(6));
    }
  }
  return 0;
}

} // namespace

// Guards against answers that cannot be distinguished from those to other requests.
TEST_CASE("an answer names its request and the digest of the request body")
{
  StubProcess stub;
  stub.grant();
  const std::string body(3'000'000, 'b');
  const auto result = send(stub.port, headersOf("r-1"), body);
  CHECK(result->get_header_value("Sycamore-Outcome") == "ran");
  const json answer = json::parse(result->body);
  CHECK(answer.at("request_id") == "r-1");
  CHECK(answer.at("key") == "store-1");
  CHECK(answer.at("length") == body.size());
  CHECK(std::stoull(answer.at("digest").get<std::string>(), nullptr, 16) == base::hashBytes(body));
  CHECK(stub.journal().at(0).at("outcome") == "ran");
}

// Guards against bodies that the HTTP library parses or decompresses before the handler gets them.
TEST_CASE("multipart and compressed bodies arrive as sent")
{
  StubProcess stub;
  stub.grant();
  const std::string body =
    "--X\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\nb\r\n--X--\r\n";
  httplib::Client client("127.0.0.1", stub.port);
  const auto multipart =
    client.Post("/v1/layout/plan", headersOf("r-1"), body, "multipart/form-data; boundary=X");
  REQUIRE(multipart);
  CHECK(json::parse(multipart->body).at("length") == body.size());
  const auto compressed = send(stub.port, headersOf("r-2", { { "Content-Encoding", "gzip" } }));
  REQUIRE(compressed);
  CHECK(json::parse(compressed->body).at("length") == 1);
}

// Guards against long bodies that are truncated, altered or buffered completely in memory.
TEST_CASE("a body of 100 MB is echoed completely in bounded memory")
{
  constexpr std::size_t kSize = 100'000'000;
  StubProcess stub;
  stub.grant();
  const backend_stub::EchoPattern pattern("r-2");
  std::size_t received = 0;
  bool matches = true;
  httplib::Client client("127.0.0.1", stub.port);
  const auto result = client.Get("/v1/layout/plan",
                                 headersOf("r-2", { { "Sycamore-Echo", std::to_string(kSize) } }),
                                 [&](const char* data, std::size_t size) {
                                   matches = matches && pattern.matches(received, { data, size });
                                   received += size;
                                   return true;
                                 });
  CHECK(result);
  CHECK(matches);
  CHECK(received == kSize);
  CHECK(peakMemoryKb(stub.process.pid()) < 50'000);
  CHECK(backend_stub::EchoPattern("r-3").matches(0, "") == true);
}

// Guards against a truncated request body that is executed as if it were complete.
TEST_CASE("a request with a truncated body is not executed")
{
  StubProcess stub;
  stub.grant();
  httplib::Client client("127.0.0.1", stub.port);
  const auto sendPart = [](std::size_t offset, std::size_t, httplib::DataSink& sink) {
    return offset == 0 && sink.write("half", 4);
  };
  CHECK_FALSE(client.Post("/v1/layout/plan", headersOf("r-4"), 1000, sendPart, "text/plain"));
  CHECK(waitUntil([&] { return stub.running(0); }, 5s));
  CHECK(stub.journal().empty());
}

// Guards against a paused server that commits after its shard was granted to another server.
TEST_CASE("an execution whose grant expired during a freeze is aborted")
{
  StubProcess stub;
  stub.grant(300);
  httplib::Result result(nullptr, httplib::Error::Unknown);
  std::thread caller([&] {
    result = send(stub.port, headersOf("r-5", { { "Sycamore-Work-Ms", "150" } }));
  });
  REQUIRE(waitUntil([&] { return stub.running(1); }, 5s));
  stub.post("/faults", { { "freeze_ms", 600 } });
  caller.join();
  CHECK(result->status == 503);
  CHECK(result->get_header_value("Sycamore-Outcome") == "unknown");
  CHECK(stub.journal().at(0).at("outcome") == "aborted");
}

// Guards against a crash after which the journal lacks the execution that was running.
TEST_CASE("a crash on a key leaves the journal in its file")
{
  const std::string path = "backend_stub_test_journal." + std::to_string(getpid());
  StubProcess stub({ "--journal_file=" + path });
  stub.grant();
  stub.post("/faults", { { "crash_key", "store-1" } });
  CHECK_FALSE(send(stub.port, headersOf("r-6")));
  CHECK(stub.process.waitExit(5s)->code == 86);
  std::ifstream file(path);
  std::string line;
  REQUIRE(std::getline(file, line));
  CHECK(json::parse(line).at("request_id") == "r-6");
  CHECK(json::parse(line).at("outcome") == "running");
  std::remove(path.c_str());
}

// Guards against a silent_connections fault that has no effect.
TEST_CASE("connections with the fault silent_connections discard bytes while new ones work")
{
  StubProcess stub;
  stub.grant();
  httplib::Client kept("127.0.0.1", stub.port);
  kept.set_keep_alive(true);
  kept.set_read_timeout(200ms);
  REQUIRE(kept.Post("/v1/layout/plan", headersOf("r-7"), "x", "text/plain"));
  stub.post("/faults", { { "silent_connections", true } });
  CHECK_FALSE(kept.Post("/v1/layout/plan", headersOf("r-8"), "x", "text/plain"));
  CHECK(send(stub.port, headersOf("r-9"))->status == 200);
  CHECK(stub.journal().size() == 2);
}

// Guards against callers whose requests wait because idle connections occupy all threads.
TEST_CASE("130 kept-alive connections are served at once")
{
  StubProcess stub;
  stub.grant();
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < 130; ++i) {
    clients.push_back(std::make_unique<httplib::Client>("127.0.0.1", stub.port));
    clients.back()->set_keep_alive(true);
    const auto result = clients.back()->Get("/sycamore/health");
    REQUIRE(result);
    CHECK(result->status == 200);
  }
  CHECK(send(stub.port, headersOf("r-10"))->status == 200);
}

// Guards against refusals with a wrong reason, since retries depend on the reason.
TEST_CASE("refusals name their reason")
{
  StubProcess stub;
  stub.grant();
  const auto refusal = [&](const httplib::Headers& headers) {
    const auto result = send(stub.port, headers);
    CHECK(result->get_header_value("Sycamore-Outcome") == "not-run");
    return result->get_header_value("Sycamore-Reason");
  };
  CHECK(refusal(headersOf("r", { { "Sycamore-Deadline-Ms", "0" } })) == "expired");
  CHECK(refusal(headersOf("r", { { "Sycamore-Deadline-Ms", "x" } })) == "bad-request");
  stub.post("/drain", json::object());
  CHECK(refusal(headersOf("r")) == "draining");
  CHECK(stub.post("/drain", { { "draining", false } }).at("state") == "warm");
  CHECK(stub.sendGrant(0, 1).at("reason") == "reordered");
  CHECK(stub.journal().empty());
}

// Guards against cancelled or expired work that is committed.
TEST_CASE("cancelled and expired executions don't commit")
{
  StubProcess stub;
  stub.grant();
  httplib::Result result(nullptr, httplib::Error::Unknown);
  std::thread caller([&] {
    result = send(stub.port, headersOf("r-11", { { "Sycamore-Work-Ms", "15000" } }));
  });
  CHECK(waitUntil(
    [&] {
      return stub.post("/sycamore/cancel", { { "request_id", "r-11" } }).at("cancelled") == true;
    },
    5s));
  caller.join();
  CHECK(result->get_header_value("Sycamore-Reason") == "cancelled");
  const auto expired =
    send(stub.port,
         headersOf("r-12", { { "Sycamore-Work-Ms", "15000" }, { "Sycamore-Deadline-Ms", "50" } }));
  CHECK(expired->get_header_value("Sycamore-Outcome") == "unknown");
  CHECK(expired->get_header_value("Sycamore-Reason") == "expired");
  CHECK(stub.journal().at(0).at("outcome") == "cancelled");
  CHECK(stub.journal().at(1).at("outcome") == "aborted");
}
