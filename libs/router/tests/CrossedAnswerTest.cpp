#include "RouterFixture.h"

#include <transport/testing/ScriptedServer.h>

using namespace sycamore;
using namespace sycamore::router;
using namespace sycamore::router::testing;
using transport::testing::ScriptedServer;

namespace {

std::string requestIdOf(const std::string& request)
{
  const std::string field = std::string(kRequestIdHeader) + ": ";
  const std::size_t begin = request.find(field) + field.size();
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string idField(const std::string& id)
{
  return std::string(kRequestIdHeader) + ": " + id + "\r\n";
}

bool isCancel(const std::string& request)
{
  return request.starts_with("POST /sycamore/cancel");
}

std::string refusal(const std::string& id, const std::string& reason)
{
  return ScriptedServer::answer(503,
                                "{}",
                                idField(id) + kOutcomeHeader + ": not-run\r\n" + kReasonHeader +
                                  ": " + reason + "\r\n");
}

// A backend server that answers the first request on each connection, and sends a late answer in
// front of each later one.
class RepeatingServer
{
public:
  // makeAnswer: returns the answer to the request with this id.
  // lateAnswer: the late answer; if absent, a copy of the first one on the connection.
  explicit RepeatingServer(std::function<std::string(const std::string& id)> makeAnswer,
                           std::optional<std::string> lateAnswer)
    : makeAnswer_(std::move(makeAnswer))
    , lateAnswer_(std::move(lateAnswer))
    , server_([this](const ScriptedServer::Received& request) { return answerTo(request); })
  {
  }

  std::string address() const { return server_.address(); }

  // Returns the ids of the requests that arrived, in their order.
  std::vector<std::string> received() const
  {
    std::vector<std::string> ids;
    for (const auto& request : server_.received()) {
      if (!isCancel(request.text)) {
        ids.push_back(requestIdOf(request.text));
      }
    }
    return ids;
  }

private:
  std::string answerTo(const ScriptedServer::Received& request)
  {
    if (isCancel(request.text)) {
      return ScriptedServer::answer(200, R"({"cancelled":false})");
    }
    const std::string own = makeAnswer_(requestIdOf(request.text));
    const std::lock_guard lock(mutex_);
    const auto [first, isFirst] = firstAnswers_.try_emplace(request.connection, own);
    return isFirst ? own : lateAnswer_.value_or(first->second) + own;
  }

  const std::function<std::string(const std::string& id)> makeAnswer_;
  const std::optional<std::string> lateAnswer_;
  std::mutex mutex_;
  std::map<std::size_t, std::string> firstAnswers_;
  ScriptedServer server_;
};

struct RepeatingFixture
{
  explicit RepeatingFixture(std::function<std::string(const std::string& id)> makeAnswer,
                            std::optional<std::string> lateAnswer = std::nullopt)
    : server(std::move(makeAnswer), std::move(lateAnswer))
  {
    vm.dispatchers.insert(makeDispatcher("layout-1", server.address()));
    publish(vm, { routeTo("layout-1", server.address(), &vm, vm) });
  }

  RepeatingServer server;
  EntryVm vm{ "vm-a1" };
  Caller caller;
};

} // namespace

TEST_CASE("a copy of the answer to an earlier request isn't passed to the next caller")
{
  RepeatingFixture fixture(
    [](const std::string& id) { return ScriptedServer::answer(200, "for " + id, idField(id)); });
  for (int i = 0; i < 2; ++i) {
    const std::string id = newId();
    const HeaderList headers{ { kKeyHeader, "store-1" }, { kRequestIdHeader, id } };
    const auto answer = fixture.caller.call(fixture.vm, "/v1/layout/plan", headers);
    CHECK(verdictOf(answer) == "ran -");
    CHECK(answer.body == "for " + id);
  }
}

TEST_CASE("a copy of another request's refusal isn't reported as not run, and no resend runs again")
{
  RepeatingFixture fixture(
    [](const std::string& id) { return ScriptedServer::answer(200, "done", idField(id)); },
    refusal(newId(), "cold"));
  CHECK(verdictOf(fixture.caller.reset(fixture.vm, newId())) == "ran -");
  const std::string id = newId();
  CHECK(verdictOf(fixture.caller.reset(fixture.vm, id)) == "unknown connection-lost");
  // A caller that was told "not run" may mark its resend as a first send.
  CHECK(verdictOf(fixture.caller.resend(fixture.vm, id, "order", 1)) == "unknown resend-unknown");
  const auto received = fixture.server.received();
  CHECK(std::count(received.begin(), received.end(), id) == 1);
}

TEST_CASE("a copy of the refusal of an earlier attempt doesn't make the request run again")
{
  RepeatingFixture fixture([isFirst = true](const std::string& id) mutable {
    return std::exchange(isFirst, false) ? refusal(id, "not-owner")
                                         : ScriptedServer::answer(200, "done", idField(id));
  });
  CHECK(verdictOf(fixture.caller.reset(fixture.vm, newId())) == "ran -");
  // The attempt that was refused, and the one that ran.
  CHECK(fixture.server.received().size() == 2);
}
