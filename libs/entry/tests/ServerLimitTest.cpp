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
