#include "FakeServer.h"

#include <entry/ObjectMirror.h>
#include <entry/SteadyTime.h>
#include <entry/VmRegistry.h>

#include <PagedStore.h>
#include <StoreTexts.h>

#include <doctest/doctest.h>

#include <optional>
#include <set>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds kPatience{ 5 };
constexpr milliseconds kWatchDuration{ 100 };
constexpr wire::Kind kKinds[]{ wire::Kind::Configuration,
                               wire::Kind::Servers,
                               wire::Kind::DomainsOut,
                               wire::Kind::Ownership,
                               wire::Kind::EntryVms };

// A client of a PagedStore over a connection.
class PagedStoreClient
{
public:
  explicit PagedStoreClient(std::size_t pageSize)
    : store_(pageSize)
    , server_(context_, [this](const std::string& request) { return react(request); })
    , calls_(context_, BufferQuota(64ULL * 1024 * 1024))
    , client_(calls_, { "127.0.0.1", server_.port() }, bytes_)
  {
  }

  PagedStore& store() { return store_; }
  StoreClient& client() { return client_; }
  asio::io_context& context() { return context_; }
  EventLog& log() { return log_; }

  bool runUntil(const std::function<bool()>& condition, base::Duration limit = kPatience)
  {
    const base::TimePoint end = clockNow() + limit;
    while (!condition() && clockNow() < end) {
      context_.restart();
      context_.run_one_for(milliseconds(5));
    }
    return condition();
  }

private:
  FakeServer::Reaction react(const std::string& request)
  {
    if (request.starts_with("POST")) {
      const std::string body = writtenObject(request, 5);
      return { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body };
    }
    FakeServer::Reaction reaction{ store_.answer(request) };
    if (storeCallOf(request).kind == StoreCall::Kind::Watch) {
      reaction.delay = kWatchDuration;
    }
    return reaction;
  }

  asio::io_context context_;
  EventLog log_{ "vm" };
  ByteCounts bytes_;
  PagedStore store_;
  FakeServer server_;
  CallClient calls_;
  StoreClient client_;
};

// A copy of all objects of one kind.
class Copy
{
public:
  Copy(PagedStoreClient& store, wire::Kind kind)
    : store_(store)
    , mirror_(
        store.context(),
        store.client(),
        store.log(),
        { kind, CatchUp::CurrentState, kWatchDuration, milliseconds(10) },
        [this](const ObjectMirror::Objects& objects) {
          names_.emplace();
          for (const auto& [name, object] : objects) {
            names_->insert(name);
          }
        },
        [](const ObjectChange&) {})
  {
    mirror_.start();
    mirror_.tick(true, false, clockNow());
  }

  bool awaitObjects(base::Duration limit = kPatience)
  {
    return store_.runUntil([this] { return names_.has_value(); }, limit);
  }

  const std::optional<std::set<std::string>>& names() const { return names_; }
  bool contains(const std::string& name) const { return names_ && names_->contains(name); }
  // Returns whether the copy was ever shown to hold all objects.
  bool wasComplete() const { return mirror_.currentAt() != base::TimePoint{}; }

private:
  PagedStoreClient& store_;
  ObjectMirror mirror_;
  std::optional<std::set<std::string>> names_;
};

} // namespace

// Guards against entries that are lost, or read again without end, because of the name of the entry
// at the end of a page.
TEST_CASE("objects behind one with an unusual name are listed, whatever its place in a page is")
{
  for (const wire::Kind kind : kKinds) {
    for (const std::size_t pageSize : { 1U, 2U, 3U, 4U }) {
      CAPTURE(static_cast<int>(kind));
      CAPTURE(pageSize);
      PagedStoreClient store(pageSize);
      std::vector<std::string> names = unusualNames();
      names.insert(names.end(), { "i-1", "i-2", "z" });
      for (const std::string& name : names) {
        store.store().put(kind, name);
      }
      Copy copy(store, kind);
      REQUIRE(copy.awaitObjects());
      const std::set<std::string> expected(names.begin(), names.end());
      CHECK(copy.names() == expected);
      CHECK(store.store().refusals() == 0);
      CHECK(store.store().lists() == (expected.size() + pageSize - 1) / pageSize);
    }
  }
}

// Guards against entries that are lost because the bytes of a name before them can't be read.
TEST_CASE("objects behind ones whose names aren't valid UTF-8 are listed")
{
  for (const std::size_t pageSize : { 1U, 2U, 3U, 7U }) {
    CAPTURE(pageSize);
    PagedStoreClient store(pageSize);
    const std::vector<std::string> good{ "a", "i-1", "i-2", "z", "\xf0\x9f\x98\x80" };
    for (const std::string& name : good) {
      store.store().put(wire::Kind::Servers, name);
    }
    for (const char* const bad : { "\x7f", "\x80", "\xc3", "\xff", "\xed\xa0\x80" }) {
      for (const char* const start : { "", "i-1", "i-2", "y" }) {
        store.store().put(wire::Kind::Servers, std::string(start) + bad);
        store.store().put(wire::Kind::Servers, std::string(start) + bad + "x");
      }
    }
    Copy copy(store, wire::Kind::Servers);
    REQUIRE(copy.awaitObjects());
    for (const std::string& name : good) {
      CHECK(copy.contains(name));
    }
    CHECK(store.store().refusals() == 0);
  }
}

// Guards against a list that is read again and again without a pause.
TEST_CASE("a store that returns the same page again is asked again after pauses only")
{
  PagedStoreClient store(2);
  for (const char* const name : { "i-1", "i-2", "i-3" }) {
    store.store().put(wire::Kind::Servers, name);
  }
  store.store().ignoreAfter();
  Copy copy(store, wire::Kind::Servers);
  store.runUntil([] { return false; }, std::chrono::seconds(2));
  CHECK(store.store().lists() > 2);
  CHECK(store.store().lists() < 40);
  CHECK_FALSE(copy.wasComplete());
}

// Guards against servers that are taken for gone because the list seemed to end before them.
TEST_CASE("a page of items without names isn't taken for the end of the list")
{
  PagedStoreClient store(2);
  store.store().put(wire::Kind::Servers, "i-1");
  store.store().put(wire::Kind::Servers, "i-2");
  store.store().putNameless(wire::Kind::Servers, "i-3");
  store.store().putNameless(wire::Kind::Servers, "i-4");
  store.store().put(wire::Kind::Servers, "i-5");
  Copy copy(store, wire::Kind::Servers);
  store.runUntil([] { return false; }, std::chrono::seconds(1));
  CHECK_FALSE(copy.wasComplete());
  CHECK(store.store().lists() < 40);
}

// Guards against an item without a name that stops the list where others of its page have names.
TEST_CASE("an item without a name at the end of a page doesn't end the list")
{
  PagedStoreClient store(2);
  store.store().put(wire::Kind::Servers, "i-1");
  store.store().putNameless(wire::Kind::Servers, "i-2");
  store.store().put(wire::Kind::Servers, "i-3");
  Copy copy(store, wire::Kind::Servers);
  REQUIRE(copy.awaitObjects());
  CHECK(copy.names() == std::set<std::string>{ "i-1", "i-3" });
}

// Guards against a VM that has started and knows no server because one page can't be read.
TEST_CASE("a VM that can't list all objects uses those of the pages that it has read")
{
  PagedStoreClient store(2);
  for (const char* const name : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
    store.store().put(wire::Kind::Servers, name);
  }
  bool isRefused = true;
  store.store().refuseAfter([&](const std::string& after) { return isRefused && after == "i-4"; });
  Copy copy(store, wire::Kind::Servers);
  REQUIRE(copy.awaitObjects());
  CHECK(copy.names() == std::set<std::string>{ "i-1", "i-2", "i-3", "i-4" });
  CHECK_FALSE(copy.wasComplete());
  // Once all pages can be read, objects that have been deleted meanwhile are dropped.
  store.store().remove(wire::Kind::Servers, "i-1");
  isRefused = false;
  REQUIRE(store.runUntil([&] { return copy.wasComplete(); }));
  CHECK(copy.names() == std::set<std::string>{ "i-2", "i-3", "i-4", "i-5" });
}

namespace {

// Registers a VM as the coordinator and collects the VMs that it lists.
class Registration
{
public:
  explicit Registration(PagedStoreClient& store)
    : registry_(
        store.context(),
        store.client(),
        store.log(),
        base::VmId("front-1"),
        { "10.0.0.1", base::DomainId("a"), 1 },
        [] { return true; },
        [this](const base::VmId& vm, const dispatch::EntryVmRecord&) { vms_.insert(vm); },
        [] {})
  {
    registry_.start();
  }

  bool contains(const char* vm) const { return vms_.contains(base::VmId(vm)); }

private:
  std::set<base::VmId> vms_;
  VmRegistry registry_;
};

std::string vmRecord()
{
  return ownMembers(dispatch::writeEntryVmRecord({ "10.0.0.2", base::DomainId("b"), 1 }));
}

} // namespace

// Guards against a coordinator that knows only the VMs in front of a record that it can't read.
TEST_CASE("VMs behind a record that can't be read are listed")
{
  for (const std::size_t pageSize : { 1U, 2U, 10U }) {
    for (const std::string& faulty : { std::string(), ownMembers("5"), ownMembers("{}") }) {
      CAPTURE(pageSize);
      CAPTURE(faulty);
      PagedStoreClient store(pageSize);
      store.store().put(wire::Kind::EntryVms, "front-1", vmRecord());
      store.store().put(wire::Kind::EntryVms, "front-1 & #%41+", faulty);
      store.store().put(wire::Kind::EntryVms, "front-2", vmRecord());
      Registration registration(store);
      CHECK(
        store.runUntil([&] { return registration.contains("front-2"); }, std::chrono::seconds(1)));
    }
  }
}

// Guards against a list of VMs that is read again and again without a pause.
TEST_CASE("a store that returns the same page of VMs again is asked again after pauses only")
{
  PagedStoreClient store(1);
  store.store().put(wire::Kind::EntryVms, "front-1", vmRecord());
  store.store().put(wire::Kind::EntryVms, "front-2", vmRecord());
  store.store().ignoreAfter();
  const Registration registration(store);
  store.runUntil([] { return false; }, std::chrono::seconds(1));
  CHECK(store.store().lists() > 2);
  CHECK(store.store().lists() < 30);
}
