#include <admission/ServerPicker.h>
#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

using namespace sycamore;
using namespace sycamore::admission;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };

base::ServerId server(int index)
{
  return base::ServerId("s" + std::to_string(index));
}

ServerPicker makePicker(int servers)
{
  ServerPicker picker;
  for (int i = 0; i < servers; ++i) {
    picker.add(server(i));
  }
  return picker;
}

} // namespace

// Guards against picking a server that is known to be slow, and against never trying it again.
TEST_CASE("a slow server is avoided for a time and tried again")
{
  std::mt19937_64 random(1);
  ServerPicker picker = makePicker(4);
  picker.onSent(server(0), WorkId(1), kStart);
  for (int i = 0; i < 100; ++i) {
    CHECK(picker.pick(kStart + 3ms, random) != server(0));
  }
  picker.onFinished(server(0), WorkId(1), true, kStart + 10ms);
  std::map<std::string, int> soon;
  std::map<std::string, int> later;
  for (int i = 0; i < 1000; ++i) {
    ++soon[picker.pick(kStart + 11ms, random)->value()];
    ++later[picker.pick(kStart + 10s, random)->value()];
  }
  CHECK(soon["s0"] == 0);
  CHECK(later.size() == 3);
  for (int i = 1; i < 4; ++i) {
    picker.onSent(server(i), WorkId(10), kStart + 10s);
  }
  CHECK(picker.pick(kStart + 10s, random) == server(0));
}

// Guards against picking servers that must not get work.
TEST_CASE("unavailable, removed and excluded servers are not picked")
{
  std::mt19937_64 random(1);
  ServerPicker picker = makePicker(4);
  picker.setAvailable(server(0), false);
  picker.remove(server(1));
  const base::ServerId excluded = server(2);
  for (int i = 0; i < 100; ++i) {
    CHECK(picker.pick(kStart, random, &excluded) == server(3));
  }
  picker.remove(server(3));
  CHECK_FALSE(picker.pick(kStart, random, &excluded).has_value());
}

// Guards against sending the whole load to the first of several equal servers.
TEST_CASE("equal servers share the load")
{
  std::mt19937_64 random(1);
  ServerPicker picker = makePicker(50);
  std::map<std::string, int> picks;
  for (int i = 0; i < 5000; ++i) {
    ++picks[picker.pick(kStart, random)->value()];
  }
  CHECK(picks.size() == 50);
  for (const auto& [name, count] : picks) {
    CHECK(count < 200);
  }
}
