#include "DispatcherFixture.h"

#include <entry/SteadyTime.h>

#include <ServerTexts.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;

namespace {

const std::string kApiKey = "secret-key";

// A deployment with one workspace, and a server that answers every request.
class WorkspaceFixture : public DispatcherFixture
{
public:
  explicit WorkspaceFixture(double requestsPerSecond = 0)
    : server_(addPlainServer([](const std::string& request) {
      return FakeServer::Reaction{ validAnswer(requestIdOf(request), "ok") };
    }))
  {
    configuration().workspaces = {
      { base::WorkspaceId("harbour"), { kApiKey }, requestsPerSecond, 1, 0 }
    };
    publish();
  }

  // Returns the status of the answer to a request with this key, or without any if it is empty.
  unsigned statusFor(const std::string& apiKey, const std::string& ownWorkspace = "")
  {
    Request sent = request("GET", "/read/x", "");
    if (!apiKey.empty()) {
      setApiKey(sent.fields, apiKey);
    }
    if (!ownWorkspace.empty()) {
      setWorkspace(sent.fields, ownWorkspace);
    }
    std::optional<CallerAnswer> answer;
    const auto handler = begin(std::move(sent), [&](CallerAnswer got) { answer = std::move(got); });
    runUntil([&answer] { return answer.has_value(); });
    retryAfter_ = answer ? headerOf(*answer, "Retry-After") : "";
    return answer ? answer->status : 0;
  }

  const std::string& retryAfter() const { return retryAfter_; }
  const std::vector<std::string>& served() const { return server_.requests(); }

private:
  FakeServer& server_;
  std::string retryAfter_;
};

bool contains(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a key or a caller's choice of workspace that reaches a server.
TEST_CASE("a server is told the key's workspace, not the caller's, and never the key")
{
  WorkspaceFixture fixture;
  REQUIRE(fixture.statusFor(kApiKey, "other") == 200);
  const std::string& request = fixture.served().front();
  CHECK(contains(request, workspaceLinePrefix("harbour\r\n")));
  CHECK_FALSE(contains(request, workspaceLinePrefix("other")));
  CHECK_FALSE(contains(request, kApiKey));
}

// Guards against a public route that passes a key on, or lets its caller name a workspace.
TEST_CASE("a public route needs no key and passes none on")
{
  WorkspaceFixture fixture;
  fixture.configuration().routes.front().isPublic = true;
  fixture.publish();
  CHECK(fixture.statusFor("") == 200);
  CHECK(fixture.statusFor(kApiKey, "other") == 200);
  CHECK_FALSE(contains(fixture.served().back(), kApiKey));
  CHECK_FALSE(contains(fixture.served().back(), workspaceLinePrefix("")));
}

// Guards against a final refusal by a VM that may have missed the key's addition.
TEST_CASE("an unknown key gets 401 from a VM that is up to date and 503 from another one")
{
  WorkspaceFixture fixture;
  CHECK(fixture.statusFor("unknown") == 401);
  CHECK(fixture.statusFor("") == 401);
  fixture.setConfigurationAge(milliseconds(2000));
  fixture.publish();
  CHECK(fixture.statusFor("unknown") == 503);
  CHECK_FALSE(fixture.retryAfter().empty());
  CHECK(fixture.statusFor(kApiKey) == 200);
  CHECK(fixture.served().size() == 1);
}

// Guards against a VM that runs requests by keys that may have been withdrawn.
TEST_CASE("a VM whose configuration isn't shown current sends nothing that needs a key")
{
  WorkspaceFixture fixture;
  fixture.setConfigurationAge(WorkspaceFixture::kKeyWithdrawal);
  fixture.publish();
  CHECK(fixture.statusFor(kApiKey) == 503);
  CHECK(fixture.served().empty());
}

// Guards against requests that run without a loan, and against a refusal for good while the
// coordinator doesn't answer.
TEST_CASE("a request waits for a loan, and is refused without one")
{
  WorkspaceFixture fixture(0.01);
  std::vector<dispatch::QuotaQuestions> asked;
  unsigned loan = 1;
  fixture.dispatcher().setQuotaQuestionListener([&](const dispatch::QuotaQuestions& questions) {
    asked.push_back(questions);
    asio::post(fixture.context(), [&fixture, &loan, sequence = questions.sequence] {
      const dispatch::QuotaLoan lent{ base::WorkspaceId("harbour"), loan, milliseconds(500) };
      fixture.dispatcher().onQuotaLoans({ sequence, { lent } });
    });
  });
  CHECK(fixture.statusFor(kApiKey) == 200);
  REQUIRE(asked.size() == 1);
  CHECK(asked.front().questions.front().waiting == 1);
  loan = 0;
  CHECK(fixture.statusFor(kApiKey) == 429);
  CHECK_FALSE(fixture.retryAfter().empty());
  fixture.dispatcher().setQuotaQuestionListener([](const dispatch::QuotaQuestions&) {});
  fixture.runUntil([end = clockNow() + milliseconds(600)] { return clockNow() >= end; });
  CHECK(fixture.statusFor(kApiKey) == 503);
  CHECK(fixture.served().size() == 1);
}
