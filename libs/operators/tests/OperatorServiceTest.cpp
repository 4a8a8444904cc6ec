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

// A service and clients of it.
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
  bool changes;
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

// Guards against calls that reach the wrong method, lose fields, or change things without leave.
TEST_CASE("each call reaches its method, and only with a token of the role that it needs")
{
  Fixture fixture;
  auto anonymous = fixture.client("");
  auto stranger = fixture.client("change-token-0123456788");
  auto reader = fixture.client(kReadToken);
  auto changer = fixture.client(kChangeToken);
  for (const Rpc& rpc : kRpcs) {
    CAPTURE(rpc.name);
    const json request = json::object();
    for (OperatorClient* unknown : { &anonymous, &stranger }) {
      CHECK(errorOf([&] { unknown->call(rpc.name, request, kTimeout); }) ==
            OperatorErrorCode::Unauthenticated);
    }
    if (rpc.changes) {
      CHECK(errorOf([&] { reader.call(rpc.name, request, kTimeout); }) ==
            OperatorErrorCode::PermissionDenied);
    } else {
      CHECK_NOTHROW(reader.call(rpc.name, request, kTimeout));
    }
    if (rpc.hasDryRun) {
      CHECK_NOTHROW(reader.call(rpc.name, { { "dry_run", true } }, kTimeout));
    }
    changer.call(rpc.name, request, kTimeout);
    CHECK(fixture.backend.lastMethod() == rpc.backendMethod);
  }
}

// Guards against values that change between the backend and the operator.
TEST_CASE("replies and requests arrive whole")
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
  const json lost = client.call("UpdateService", { { "base_version", 6 } }, kTimeout);
  CHECK(lost["outcome"] == "CONFLICT");
  CHECK(lost["version"] == 7);
  CHECK(lost["differences"][0]["theirs"] == "\"move\"");
  const json status = client.call("GetConfigStatus", json::object(), kTimeout);
  CHECK(status["unusable"][0]["faults"][0]["path"] == "/state");
  CHECK(errorOf([&] {
          client.call("GetService", { { "name", 1 } }, kTimeout);
        }) == OperatorErrorCode::InvalidArgument);
  CHECK(errorOf([&] { client.call("Shutdown", json::object(), kTimeout); }) ==
        OperatorErrorCode::Unimplemented);
}

// Guards against calls that hang, and against one faulty call that takes the server down.
TEST_CASE("failures of the backend become statuses, and no call outlives its deadline")
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

// Guards against a caller that fills the memory or the threads of an entry VM.
TEST_CASE("requests that are too large, and calls that are too many, are refused")
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

// Guards against watches that miss objects, and against a server that can't stop while one runs.
TEST_CASE("a watch brings present objects and ends when the server stops")
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

// Guards against tokens that travel in plain text although TLS is set up.
TEST_CASE("with a certificate the server speaks TLS only")
{
  const SelfSigned identity = makeSelfSigned("operators.example");
  OperatorServiceSettings settings = withTokens();
  settings.tls.certificate = identity.certificate;
  settings.tls.privateKey = identity.privateKey;
  Fixture fixture(settings);
  OperatorClient trusting(
    { fixture.address(), kReadToken, identity.certificate, "operators.example" });
  CHECK(trusting.call("GetVersion", json::object(), kTimeout)["vm"] == "vm-a1");
  CHECK_FALSE(fixture.client(kReadToken).connect(milliseconds(2000)));
  const SelfSigned other = makeSelfSigned("operators.example");
  OperatorClient wary({ fixture.address(), kReadToken, other.certificate, "operators.example" });
  CHECK_FALSE(wary.connect(milliseconds(2000)));

  settings.tls.callerAuthority = other.certificate;
  Fixture strict(settings);
  const OperatorClientSettings nameless{
    strict.address(), kReadToken, identity.certificate, "operators.example"
  };
  OperatorClientSettings known = nameless;
  known.certificate = other.certificate;
  known.privateKey = other.privateKey;
  CHECK(OperatorClient(known).call("GetVersion", json::object(), kTimeout)["vm"] == "vm-a1");
  CHECK_THROWS_AS(OperatorClient(nameless).call("GetVersion", json::object(), kTimeout),
                  OperatorError);
}

// Guards against a daemon that seems to run while another process has its port, and against
// settings that leave the port open to anyone.
TEST_CASE("a taken port and weak tokens are refused at the start")
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
