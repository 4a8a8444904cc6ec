#include "DispatcherFixture.h"

#include <ServerTexts.h>

#include <doctest/doctest.h>

#include <deque>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

// Span in which a server's requests are counted, and the time allowed before they are.
constexpr std::chrono::seconds kWindow{ 4 };
constexpr std::chrono::seconds kNotice{ 1 };

FakeServer::React limited(const std::string& perSecond, std::deque<Clock::time_point>& arrivals)
{
  return [perSecond, &arrivals](const std::string& request) {
    arrivals.push_back(Clock::now());
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), "ok", limitLine(perSecond)) };
  };
}

// Returns the largest number of arrivals within one window after the notice.
std::size_t mostInWindow(const std::deque<Clock::time_point>& arrivals)
{
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    if (*first < arrivals.front() + kNotice) {
      continue;
    }
    const auto last = std::upper_bound(first, arrivals.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

void setPriority(DispatcherFixture& fixture, const std::string& route, unsigned priority)
{
  for (dispatch::Route& candidate : fixture.configuration().routes) {
    candidate.priority = candidate.name == route ? priority : candidate.priority;
  }
}

} // namespace

// Guards against a server that gets more requests than the limit that it names in its answers.
TEST_CASE("a server that names a limit gets no more than one and a half times that")
{
  DispatcherFixture fixture;
  std::deque<Clock::time_point> arrivals;
  fixture.addKeyedServer(limited("2.5", arrivals));
  fixture.publish();
  const auto end = Clock::now() + kNotice + kWindow + milliseconds(500);
  while (Clock::now() < end) {
    fixture.sendAndAwait("GET", "/keyed/x");
    fixture.context().run_for(milliseconds(15));
  }
  CHECK(mostInWindow(arrivals) <= static_cast<std::size_t>(1.5 * 2.5 * kWindow.count() + 5));
  CHECK(arrivals.size() > 4);
}

// Guards against an urgent request that is refused while a less urgent one gets the only permit.
TEST_CASE("the only permit goes to the urgent one of two waiting requests")
{
  DispatcherFixture fixture;
  std::deque<Clock::time_point> arrivals;
  fixture.addPlainServer(limited("2.5", arrivals));
  setPriority(fixture, "/read/", 2);
  setPriority(fixture, "/order/", 0);
  std::optional<dispatch::PermitQuestion> question;
  fixture.dispatcher().setLimitListeners(
    [](const dispatch::ServerIncarnation&, std::optional<dispatch::RequestLimit>) {},
    [&question](const dispatch::PermitQuestion& asked) { question = asked; });
  fixture.publish();
  REQUIRE(fixture.sendAndAwait("GET", "/read/x")->status == 200);
  std::optional<CallerAnswer> lessUrgent;
  std::optional<CallerAnswer> urgent;
  const auto first =
    fixture.begin(fixture.request("GET", "/read/x", ""),
                  [&lessUrgent](CallerAnswer answer) { lessUrgent = std::move(answer); });
  const auto second = fixture.begin(fixture.request("POST", "/order/x", "body"),
                                    [&urgent](CallerAnswer answer) { urgent = std::move(answer); });
  REQUIRE(question);
  CHECK(question->priority == 2);
  fixture.dispatcher().onPermitGrant(question->limited.server, { 1, {} });
  CHECK(fixture.runUntil([&] { return urgent && lessUrgent; }));
  CHECK(urgent->status == 200);
  CHECK(lessUrgent->status == 503);
  CHECK(arrivals.size() == 2);
}

// Guards against a refusal although a permit was due within the request's time.
TEST_CASE("a request is sent with the permit that is due within its time")
{
  DispatcherFixture fixture;
  std::deque<Clock::time_point> arrivals;
  fixture.addPlainServer(limited("2.5", arrivals));
  unsigned questions = 0;
  fixture.dispatcher().setLimitListeners(
    [](const dispatch::ServerIncarnation&, std::optional<dispatch::RequestLimit>) {},
    [&](const dispatch::PermitQuestion& asked) {
      const bool isDenied = ++questions == 1;
      const dispatch::PermitGrant grant =
        isDenied ? dispatch::PermitGrant{ 0, milliseconds(20) } : dispatch::PermitGrant{ 1, {} };
      asio::post(fixture.context(), [&fixture, server = asked.limited.server, grant] {
        fixture.dispatcher().onPermitGrant(server, grant);
      });
    });
  fixture.publish();
  REQUIRE(fixture.sendAndAwait("GET", "/read/x")->status == 200);
  CHECK(fixture.sendAndAwait("GET", "/read/x")->status == 200);
  CHECK(questions == 2);
}
