#include "FakeServer.h"

#include <entry/ObjectMirror.h>
#include <entry/SteadyTime.h>

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
