#include "FakeServer.h"

#include <entry/CoordinatorRole.h>
#include <entry/SteadyTime.h>

#include <KeyServerTexts.h>
#include <ServerTexts.h>
#include <StoreTexts.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Epoch of the record that the tests put into the store.
constexpr std::uint64_t kKnownEpoch = 4;

std::string answer(const std::string& status, const std::string& body, std::uint64_t era)
{
  return "HTTP/1.1 " + status + "\r\n" + eraHeader(era) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A store with one object, which carries out every write.
class Store
{
public:
  explicit Store(asio::io_context& context)
    : server_(context, [this](const std::string& request) { return react(request); })
  {
  }

  std::uint16_t port() const { return server_.port(); }
  void setRecord(const dispatch::OwnershipRecord& record)
  {
    const std::string body =
      wire::writeBody("ownership", 0, dispatch::writeOwnershipRecord(record));
    object_ = writtenObject("\r\n\r\n" + body, ++revision_);
  }
  // Brings back a record under an earlier revision.
  void restore(const dispatch::OwnershipRecord& record)
  {
    ++era_;
    revision_ = 0;
    setRecord(record);
  }
  void delayWrites(milliseconds delay) { writeDelay_ = delay; }
  void loseWriteAnswers(bool lose) { losesWriteAnswers_ = lose; }
  base::TimePoint writtenAt() const { return writtenAt_; }

private:
  FakeServer::Reaction react(const std::string& request)
  {
    FakeServer::Reaction reaction;
    if (request.starts_with("GET")) {
      reaction.bytes =
        object_.empty() ? answer("404 Not Found", "{}", era_) : answer("200 OK", object_, era_);
      return reaction;
    }
    object_ = writtenObject(request, ++revision_);
    writtenAt_ = clockNow();
    if (losesWriteAnswers_) {
      reaction.end = FakeServer::Reaction::End::Reset;
      return reaction;
    }
    reaction.bytes = answer("200 OK", object_, era_);
    reaction.delay = writeDelay_;
    return reaction;
  }

  std::string object_;
  std::uint64_t revision_ = 0;
  std::uint64_t era_ = 1;
  milliseconds writeDelay_{ 0 };
  bool losesWriteAnswers_ = false;
  base::TimePoint writtenAt_{};
  FakeServer server_;
};

// The role of one entry VM, "front-1" at 10.0.0.1.
class Role
{
public:
  Role()
    : storeClient_(calls_, { "127.0.0.1", store_.port() }, bytes_)
    , role_(
        calls_,
        storeClient_,
        log_,
        bytes_,
        base::DomainId("a"),
        settings_,
        self_,
        [](const dispatch::OwnershipRecord&, const dispatch::OwnershipDelta&) {},
        [](const dispatch::OwnershipRecord&, std::uint64_t) {})
  {
    storeClient_.setRestoredListener([this](std::uint64_t) { role_.onStoreRestored(); });
  }

  Store& store() { return store_; }
  const dispatch::CoordinatorSettings& settings() const { return settings_; }
  const dispatch::Coordinator& self() const { return self_; }
  const dispatch::KeyCoordinator& coordinator() const { return *role_.coordinator(); }
  bool isActive() const { return role_.active(); }
  std::uint64_t malformedTokens() const { return role_.malformedTokens(); }

  asio::io_context& context() { return context_; }
  const ByteCounts& bytes() const { return bytes_; }
  dispatch::KeyCoordinator& coordinator() { return *role_.coordinator(); }

  // Runs the role until the condition holds, for 3 s at most.
  void runUntil(const std::function<bool()>& condition)
  {
    const base::TimePoint deadline = clockNow() + seconds(3);
    while (!condition() && clockNow() < deadline) {
      role_.tick(clockNow());
      context_.restart();
      context_.run_one_for(milliseconds(20));
    }
  }

  // Lets calls go on for a time in which no decision is made.
  void runCalls(milliseconds time)
  {
    const base::TimePoint deadline = clockNow() + time;
    while (clockNow() < deadline) {
      context_.restart();
      context_.run_one_for(milliseconds(20));
    }
  }

  // Returns whether this VM has become the coordinator.
  bool tryTakeover()
  {
    const std::uint64_t failures = storeClient_.calls().failed;
    role_.tryTakeover(kKnownEpoch);
    const base::TimePoint deadline = clockNow() + seconds(3);
    while (!role_.active() && storeClient_.calls().failed == failures && clockNow() < deadline) {
      context_.restart();
      context_.run_one_for(milliseconds(20));
    }
    return role_.active();
  }

private:
  asio::io_context context_;
  Store store_{ context_ };
  EventLog log_{ "front-1" };
  ByteCounts bytes_;
  CallClient calls_{ context_, BufferQuota(1024 * 1024) };
  StoreClient storeClient_;
  dispatch::CoordinatorSettings settings_;
  dispatch::Coordinator self_{ base::VmId("front-1"), 7, "10.0.0.1" };
  CoordinatorRole role_;
};

dispatch::OwnershipRecord recordOf(const dispatch::Coordinator& coordinator)
{
  dispatch::OwnershipRecord record;
  record.epoch = kKnownEpoch;
  record.coordinator = coordinator;
  record.previousCoordinatorsStopped = true;
  record.era = 1;
  return record;
}

// Returns a server of the keyed service that listens on this port.
dispatch::BackendServer serverAt(std::uint16_t port, const base::ServiceId& service)
{
  dispatch::BackendServer server;
  server.id = base::ServerId("s0");
  server.born = 1;
  server.service = service;
  server.address = "127.0.0.1:" + std::to_string(port);
  return server;
}

// Returns whether this is the call that a new connection carries first.
bool isEmptyGrant(const std::string& request)
{
  return request.find(R"("fence":0,)") != std::string::npos;
}

bool waitsForOthers(const Role& role)
{
  const base::TimePoint now = clockNow();
  return role.coordinator().stopReport(now).previousCoordinatorsStopAt > now + seconds(4);
}

} // namespace

// Guards against two coordinators: the successor waits from its own write on, which may come before
// a late answer to this one's.
TEST_CASE("a coordinator may grant for a time that counts from its takeover, not from the answer")
{
  Role role;
  role.store().delayWrites(milliseconds(300));
  REQUIRE(role.tryTakeover());
  dispatch::GrantOrder order;
  order.sendBy = base::TimePoint::max();
  const base::TimePoint end = role.store().writtenAt() + role.settings().confirmationTimeout;
  CHECK(role.coordinator().maySend(order, end - milliseconds(200)));
  CHECK_FALSE(role.coordinator().maySend(order, end));
}

// Guards against two coordinators: a VM's name can be given to a new process at another address
// while the earlier one still runs.
TEST_CASE("a coordinator waits for a process of the same VM name at another address")
{
  Role role;
  role.store().setRecord(recordOf({ role.self().vm, 3, "10.0.0.9" }));
  REQUIRE(role.tryTakeover());
  CHECK(waitsForOthers(role));
}

TEST_CASE("a coordinator doesn't wait for an earlier process at its own address")
{
  Role role;
  role.store().setRecord(recordOf({ role.self().vm, 3, role.self().address }));
  REQUIRE(role.tryTakeover());
  CHECK_FALSE(waitsForOthers(role));
}

// Guards against a stop report of the preceding coordinator that is taken to cover the grants of an
// earlier term in the same epoch.
TEST_CASE("each term of a coordinator has an epoch of its own")
{
  Role role;
  role.store().loseWriteAnswers(true);
  REQUIRE_FALSE(role.tryTakeover());
  role.store().loseWriteAnswers(false);
  REQUIRE(role.tryTakeover());
  CHECK(role.coordinator().record().epoch == 2);
}

// Guards against grants and releases whose own answers can't be told from late copies of others.
TEST_CASE("each grant and release carries an id of its own, and a release its own connection")
{
  Role role;
  std::set<std::string> ids;
  bool isReleased = false;
  unsigned acceptedBefore = 0;
  FakeServer server(role.context(), [&](const std::string& request) {
    ids.insert(requestIdOf(request));
    isReleased = isReleased || request.find("/release") != std::string::npos;
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), "") };
  });
  const base::ServiceId service("layout");
  dispatch::BackendServer registered = serverAt(server.port(), service);
  dispatch::OwnershipRecord record = recordOf(role.self());
  record.services[service] = { { 0, 1000, registered.id, 1, 3 },
                               { 1001, dispatch::kLastKey, registered.id, 1, 3 } };
  role.store().setRecord(record);
  REQUIRE(role.tryTakeover());
  role.coordinator().setServices({ { service, { 120, 10, true } } });
  role.coordinator().setServers({ { registered.id, registered } }, clockNow());
  role.runUntil([&] { return server.requests().size() >= 4; });
  CHECK(ids.size() == server.requests().size());
  CHECK(ids.count("") == 0);
  acceptedBefore = server.accepted();
  registered.draining = true;
  role.coordinator().setServers({ { registered.id, registered } }, clockNow());
  role.runUntil([&] { return isReleased; });
  CHECK(isReleased);
  CHECK(ids.size() == server.requests().size());
  CHECK(server.accepted() > acceptedBefore);
}

// Guards against two owners of a key: a busy server reads a new connection late, and gets a grant
// whose call was given up, if the reset of the connection is lost or stands behind it.
TEST_CASE("a server that reads a connection late finds no grant that was given up")
{
  Role role;
  FakeServer server(role.context(), [](const std::string& request) {
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), "") };
  });
  const base::ServiceId service("layout");
  const dispatch::BackendServer registered = serverAt(server.port(), service);
  dispatch::OwnershipRecord record = recordOf(role.self());
  record.services[service] = { { 0, dispatch::kLastKey, registered.id, 1, 3 } };
  role.store().setRecord(record);
  REQUIRE(role.tryTakeover());
  role.coordinator().setServices({ { service, { 120, 10, true } } });
  role.coordinator().setServers({ { registered.id, registered } }, clockNow());
  server.holdNewConnections();
  role.runUntil([&] { return server.accepted() > 0; });
  REQUIRE(server.accepted() > 0);
  role.runCalls(std::chrono::duration_cast<milliseconds>(role.settings().callTimeout) * 2);
  server.readHeldConnections();
  role.runCalls(milliseconds(200));
  CHECK(std::ranges::none_of(server.requests(), [](const std::string& request) {
    return request.find(R"("fence":3)") != std::string::npos;
  }));
  role.runUntil([&] { return server.requests().size() > 1; });
  REQUIRE(server.requests().size() > 1);
  CHECK(server.requests().back().find(R"("fence":3)") != std::string::npos);
}

// Guards against one spoiled answer that ends the coordinator's process.
TEST_CASE(
  "a spoiled token in the answer to a release is dropped, and the keys get their next owner")
{
  const std::string intact = "5c0e7a21d94b36f8";
  std::string spoiled = intact;
  spoiled[0] = '\xb5';
  spoiled[7] = '\xff';
  for (const std::string& token : { intact, spoiled, std::string(60'000, 'x') }) {
    Role role;
    FakeServer leaving(role.context(), [&](const std::string& request) {
      const bool isRelease = request.find("/release") != std::string::npos;
      return FakeServer::Reaction{ isRelease ? releasedAnswer(token)
                                             : validAnswer(requestIdOf(request), "") };
    });
    std::string grant;
    FakeServer next(role.context(), [&](const std::string& request) {
      if (!isEmptyGrant(request)) {
        grant = request;
      }
      return FakeServer::Reaction{ validAnswer(requestIdOf(request), "") };
    });
    const base::ServiceId service("layout");
    dispatch::BackendServer first = serverAt(leaving.port(), service);
    dispatch::BackendServer second = serverAt(next.port(), service);
    second.id = base::ServerId("s1");
    REQUIRE(role.tryTakeover());
    role.coordinator().setServices({ { service, { 120, 10, true } } });
    role.coordinator().setServers({ { first.id, first } }, clockNow());
    role.runUntil([&] { return leaving.requests().size() >= 3; });
    first.draining = true;
    role.coordinator().setServers({ { first.id, first }, { second.id, second } }, clockNow());
    role.runUntil([&] { return !grant.empty(); });
    REQUIRE_FALSE(grant.empty());
    CHECK((grant.find(intact) != std::string::npos) == (token == intact));
    CHECK(grant.size() < 1000);
    CHECK((role.malformedTokens() > 0) == (token != intact));
  }
}

// Guards against a faulty server that fills the memory for the answers of the store.
TEST_CASE("an answer without end to a grant is cut off after some kilobytes")
{
  constexpr std::uint64_t kEnough = 200 * 1024;
  Role role;
  FakeServer server(role.context(), [](const std::string&) {
    return FakeServer::Reaction{ "HTTP/1.1 200 OK\r\n\r\n",
                                 FakeServer::Reaction::End::KeepOpen,
                                 std::string(4096, 'x') };
  });
  const base::ServiceId service("layout");
  const dispatch::BackendServer registered = serverAt(server.port(), service);
  dispatch::OwnershipRecord record = recordOf(role.self());
  record.services[service] = { { 0, dispatch::kLastKey, registered.id, 1, 3 } };
  role.store().setRecord(record);
  REQUIRE(role.tryTakeover());
  role.coordinator().setServices({ { service, { 120, 10, true } } });
  role.coordinator().setServers({ { registered.id, registered } }, clockNow());
  role.runUntil([&] { return server.ended() > 0; });
  REQUIRE(server.ended() == 1);
  CHECK(role.bytes().byKind().at("grant").otherDomain < kEnough);
}

// Guards against two coordinators and lost moves when the store brings back a former coordinator's
// record under a revision that it has given out before.
TEST_CASE("a coordinator goes on by its own record after the store came back from an older copy")
{
  Role role;
  const base::ServiceId service("layout");
  dispatch::OwnershipRecord record = recordOf(role.self());
  record.services[service] = { { 0, dispatch::kLastKey, base::ServerId("s1"), 1, 5 } };
  role.store().setRecord(record);
  REQUIRE(role.tryTakeover());
  const std::uint64_t epoch = role.coordinator().record().epoch;
  dispatch::OwnershipRecord older = recordOf({ base::VmId("front-2"), 3, "10.0.0.2" });
  older.services[service] = { { 0, dispatch::kLastKey, base::ServerId("s0"), 1, 3 } };
  role.store().restore(older);
  role.runUntil([&] { return role.isActive() && role.coordinator().record().era == 2; });
  REQUIRE(role.isActive());
  CHECK(role.coordinator().record().era == 2);
  CHECK(role.coordinator().record().epoch > epoch);
  CHECK(role.coordinator().record().services == record.services);
  CHECK(role.coordinator().record().fenceFloor > 5);
}

// Guards against a server that holds keys by a record that the store has lost.
TEST_CASE("a takeover after the store came back from an older copy trusts no owner in the record")
{
  Role role;
  const base::ServiceId service("layout");
  dispatch::OwnershipRecord record = recordOf({ base::VmId("front-2"), 3, "10.0.0.2" });
  record.services[service] = { { 0, dispatch::kLastKey, base::ServerId("s1"), 1, 5 } };
  role.store().restore(record);
  REQUIRE(role.tryTakeover());
  CHECK(role.coordinator().record().services.at(service).front().owner.value() == "");
  CHECK(role.coordinator().record().mayLackOwners);
  CHECK(waitsForOthers(role));
}
