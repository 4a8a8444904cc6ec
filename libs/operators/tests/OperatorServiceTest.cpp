#include "FakeBackend.h"
#include "SelfSigned.h"

#include <operators/OperatorClient.h>
#include <operators/OperatorService.h>

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace sycamore::operators;
using nlohmann::json;
using sycamore::base::milliseconds;

namespace {

constexpr milliseconds kTimeout{ 5000 };
const std::string kReadToken = "read-token-0123456789";
const std::string kChangeToken = "change-token-0123456789";

OperatorServiceSettings withTokens()
{
  OperatorServiceSettings settings;
  settings.tokens = { { "auditor", kReadToken, OperatorRole::ReadOnly },
                      { "night-shift", kChangeToken, OperatorRole::Change } };
  return settings;
}

// A running OperatorService and a factory of its clients.
struct Fixture
{
  explicit Fixture(OperatorServiceSettings settings = withTokens())
    : service(std::move(settings), backend)
  {
  }

  OperatorClient client(const std::string& token) const
  {
    return OperatorClient({ address(), token });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(service.port()); }

  FakeBackend backend;
  OperatorService service;
};

template<typename Call>
OperatorErrorCode errorOf(const Call& call)
{
  try {
    call();
  } catch (const OperatorError& error) {
    return error.code();
  }
  FAIL("the call succeeded");
  return OperatorErrorCode::Internal;
}

template<typename Condition>
void waitUntil(const Condition& condition)
{
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    std::this_thread::yield();
  }
}

struct Rpc
{
  const char* name;
  const char* backendMethod;
  bool changesState;
  bool hasDryRun;
};

const std::vector<Rpc> kRpcs{
  { "CreateService", "createService", true, true },
  { "UpdateService", "updateService", true, true },
  { "DeleteService", "deleteService", true, true },
  { "GetService", "getService", false, false },
  { "ListServices", "listServices", false, false },
  { "ListDomains", "listDomains", false, false },
  { "TakeDomainOut", "takeDomainOut", true, true },
  { "BringDomainBack", "bringDomainBack", true, true },
  { "ShowPlacement", "showPlacement", false, false },
  { "PlanMove", "planMove", true, true },
  { "DrainServer", "drainServer", true, true },
  { "ExplainKey", "explainKey ", false, false },
  { "ListOwners", "listOwners", false, false },
  { "ListTenancies", "listTenancies", false, false },
  { "ListMoves", "listMoves", false, false },
  { "ListQuarantine", "listQuarantine", false, false },
  { "LiftQuarantine", "liftQuarantine", true, true },
  { "GetConfigStatus", "configStatus", false, false },
  { "GetBurnReport", "burnReport", false, false },
  { "SetLogLevel", "setLogLevel", true, false },
  { "GetVersion", "version", false, false },
};

} // namespace

// Guards against calls that reach the wrong backend method, or change something although their
// token doesn't permit it.
TEST_CASE("each call reaches its backend method, and only with a token of the required role")
{
  Fixture fixture;
  auto anonymous = fixture.client("");
  auto unknownToken = fixture.client("change-token-0123456788");
  auto reader = fixture.client(kReadToken);
  auto operatorClient = fixture.client(kChangeToken);
  for (const Rpc& rpc : kRpcs) {
    CAPTURE(rpc.name);
    const json request = json::object();
    for (OperatorClient* unknown : { &anonymous, &unknownToken }) {
      CHECK(errorOf([&] { unknown->call(rpc.name, request, kTimeout); }) ==
            OperatorErrorCode::Unauthenticated);
    }
    if (rpc.changesState) {
      CHECK(errorOf([&] { reader.call(rpc.name, request, kTimeout); }) ==
            OperatorErrorCode::PermissionDenied);
    } else {
      CHECK_NOTHROW(reader.call(rpc.name, request, kTimeout));
    }
    if (rpc.hasDryRun) {
      CHECK_NOTHROW(reader.call(rpc.name, { { "dry_run", true } }, kTimeout));
    }
    operatorClient.call(rpc.name, request, kTimeout);
    CHECK(fixture.backend.lastMethod() == rpc.backendMethod);
  }
}

// Guards against values that are altered or lost in the conversions between backend and operator.
TEST_CASE("requests and replies keep all their values")
{
  Fixture fixture;
  auto client = fixture.client(kChangeToken);
  const std::string bytes("a\xff\0b", 4);
  const json key = client.call("ExplainKey", { { "key", bytes } }, kTimeout);
  CHECK(fixture.backend.lastMethod() == "explainKey " + bytes);
  CHECK(key["term"] == 1ULL << 60);
  CHECK(key["why"] == "failover of layout-2");
  const json placement = client.call("ShowPlacement", json::object(), kTimeout);
  CHECK(placement["shards"][0]["key"].get<std::string>() == "store-\xff");
  const json conflict = client.call("UpdateService", { { "base_version", 6 } }, kTimeout);
  CHECK(conflict["outcome"] == "CONFLICT");
  CHECK(conflict["version"] == 7);
  CHECK(conflict["differences"][0]["theirs"] == "\"move\"");
  const json status = client.call("GetConfigStatus", json::object(), kTimeout);
  CHECK(status["unusable"][0]["faults"][0]["path"] == "/state");
  CHECK(errorOf([&] {
          client.call("GetService", { { "name", 1 } }, kTimeout);
        }) == OperatorErrorCode::InvalidArgument);
  CHECK(errorOf([&] { client.call("Shutdown", json::object(), kTimeout); }) ==
        OperatorErrorCode::Unimplemented);
}

// Guards against calls that hang, and against an exception in one call that ends the server.
TEST_CASE("failures of the backend are reported as statuses, and no call outlives its deadline")
{
  OperatorServiceSettings settings = withTokens();
  settings.defaultDeadline = milliseconds(300);
  settings.maxDeadline = milliseconds(300);
  Fixture fixture(settings);
  auto client = fixture.client(kReadToken);
  const auto get = [&](const char* name, milliseconds timeout) {
    return errorOf([&] { client.call("GetService", { { "service", name } }, timeout); });
  };
  CHECK(get("absent", kTimeout) == OperatorErrorCode::NotFound);
  CHECK(get("broken", kTimeout) == OperatorErrorCode::Internal);
  CHECK(get("slow", milliseconds(100)) == OperatorErrorCode::DeadlineExceeded);
  const auto start = std::chrono::steady_clock::now();
  CHECK(get("slow", milliseconds(60'000)) == OperatorErrorCode::DeadlineExceeded);
  CHECK(std::chrono::steady_clock::now() - start < kTimeout);
}

// Guards against a client that uses up the memory or the threads of an entry VM.
TEST_CASE("requests above the size limit and calls above the concurrency limit are refused")
{
  OperatorServiceSettings settings = withTokens();
  settings.maxCalls = 1;
  Fixture fixture(settings);
  auto client = fixture.client(kChangeToken);
  const json large{ { "document", std::string(settings.maxRequestBytes, 'x') } };
  CHECK(errorOf([&] { client.call("CreateService", large, kTimeout); }) ==
        OperatorErrorCode::ResourceExhausted);

  std::thread slow([&] {
    auto other = fixture.client(kReadToken);
    errorOf([&] { other.call("GetService", { { "service", "slow" } }, milliseconds(2000)); });
  });
  waitUntil([&] { return fixture.backend.lastMethod() == "getService"; });
  CHECK(errorOf([&] { client.call("GetVersion", json::object(), kTimeout); }) ==
        OperatorErrorCode::ResourceExhausted);
  slow.join();
}

// Guards against watches that miss objects, and against a server that can't stop while a watch
// runs.
TEST_CASE("a watch sends the existing objects and ends when the server stops")
{
  Fixture fixture;
  auto client = fixture.client(kReadToken);
  std::vector<std::string> seen;
  client.watchServices("", kTimeout, [&](const json& object) {
    seen.push_back(object["name"]);
    return seen.size() < 2;
  });
  CHECK(seen == std::vector<std::string>{ "service.layout", "service.label" });

  std::atomic<int> events = 0;
  std::thread watcher([&] {
    auto other = fixture.client(kReadToken);
    other.watchServices("label", milliseconds(30'000), [&](const json&) { return ++events > 0; });
  });
  waitUntil([&] { return events > 0; });
  CHECK(events == 1);
  const auto start = std::chrono::steady_clock::now();
  fixture.service.stop(milliseconds(3000));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(2500));
  watcher.join();
}

// Guards against tokens that are sent in plain text, and against peers without the expected
// certificate, although TLS is configured.
TEST_CASE("with a certificate the server accepts TLS connections only")
{
  const SelfSigned identity = makeSelfSigned("operators.example");
  OperatorServiceSettings settings = withTokens();
  settings.tls.certificate = identity.certificate;
  settings.tls.privateKey = identity.privateKey;
  Fixture fixture(settings);
  OperatorClient tlsClient(
    { fixture.address(), kReadToken, identity.certificate, "operators.example" });
  CHECK(tlsClient.call("GetVersion", json::object(), kTimeout)["vm"] == "vm-a1");
  CHECK_FALSE(fixture.client(kReadToken).connect(milliseconds(2000)));
  const SelfSigned other = makeSelfSigned("operators.example");
  OperatorClient clientOfOtherCa(
    { fixture.address(), kReadToken, other.certificate, "operators.example" });
  CHECK_FALSE(clientOfOtherCa.connect(milliseconds(2000)));

  settings.tls.clientCaCertificate = other.certificate;
  Fixture mutualTls(settings);
  const OperatorClientSettings withoutCertificate{
    mutualTls.address(), kReadToken, identity.certificate, "operators.example"
  };
  OperatorClientSettings withCertificate = withoutCertificate;
  withCertificate.certificate = other.certificate;
  withCertificate.privateKey = other.privateKey;
  CHECK(OperatorClient(withCertificate).call("GetVersion", json::object(), kTimeout)["vm"] ==
        "vm-a1");
  CHECK_THROWS_AS(OperatorClient(withoutCertificate).call("GetVersion", json::object(), kTimeout),
                  OperatorError);
}

// Guards against a daemon that seems to run although another process has bound its port, and
// against tokens that are easily guessed or ambiguous.
TEST_CASE(
  "the service doesn't start with a port in use, weak or duplicate tokens, or half a TLS key pair")
{
  Fixture fixture;
  FakeBackend backend;
  OperatorServiceSettings settings = withTokens();
  settings.address = fixture.address();
  CHECK_THROWS_AS(OperatorService(settings, backend), OperatorError);
  settings = withTokens();
  settings.tokens[0].token = "short";
  CHECK_THROWS_AS(OperatorService(settings, backend), OperatorError);
  settings = withTokens();
  settings.tokens[0].token = settings.tokens[1].token;
  CHECK_THROWS_AS(OperatorService(settings, backend), OperatorError);
  settings = withTokens();
  settings.tls.certificate = "-----BEGIN CERTIFICATE-----";
  CHECK_THROWS_AS(OperatorService(settings, backend), OperatorError);
}
