#include "ObjectTable.h"
#include "RateLimit.h"
#include "VmList.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <test_process/TestProcess.h>
#include <test_process/WaitUntil.h>
#include <thread>

using namespace sycamore;
using namespace sycamore::platform_stub;
using namespace std::chrono_literals;
using nlohmann::json;
using namespace nlohmann::literals;

namespace {

const base::TimePoint kStart(1000s);

struct Program
{
  explicit Program(const std::vector<std::string>& flags = {})
    : process(PLATFORM_STUB, flags)
    , port(process.waitPort(10s))
    , client("127.0.0.1", port)
  {
    client.set_keep_alive(true);
  }

  int setFaults(const json& faults)
  {
    return client.Post("/faults", faults.dump(), "application/json")->status;
  }

  test_process::TestProcess process;
  int port;
  httplib::Client client;
};

} // namespace

// Guards against a stub that accepts a write with a stale version after a deletion.
TEST_CASE("a version is not reused after a deletion")
{
  ObjectTable table;
  const auto first = table.put("config", "a", 0, 1).object.at("version").get<std::uint64_t>();
  CHECK(table.remove("config", "a", first).isApplied);
  CHECK(table.put("config", "a", 0, 2).isApplied);
  CHECK_FALSE(table.put("config", "a", first, 3).isApplied);
  CHECK(table.get("config", "a").at("value") == 2);
  const json changes = table.watch("config", first, kStart, [] { return false; });
  CHECK(changes.at("objects").size() == 1);
  CHECK(changes.at("deleted").empty());
}

// Guards against a VM list that is always current in tests although the platform's list lags.
TEST_CASE("the list of VMs lags and can be stale")
{
  VmList list;
  list.setLag(5s);
  list.put("vm-a1", { { "state", "live" } }, kStart);
  CHECK(list.visible(kStart + 4s).at("vms").empty());
  CHECK(list.visible(kStart + 5s).at("vms").size() == 1);
  list.setStale(true, kStart + 5s);
  list.remove("vm-a1", kStart + 6s);
  CHECK(list.visible(kStart + 60s).at("vms").size() == 1);
  list.setStale(false, kStart + 60s);
  CHECK(list.visible(kStart + 60s).at("vms").empty());
}

// Guards against a stub that admits more calls than the platform, with which a system that exceeds
// the platform's rate limits would pass its tests.
TEST_CASE("calls above the rate are refused")
{
  RateLimit limit(400);
  int admitted = 0;
  for (auto now = kStart; now < kStart + 2s; now += 1ms) {
    admitted += limit.admit(now) ? 1 : 0;
  }
  CHECK(admitted >= 790);
  CHECK(admitted <= 841);
}

// Guards against faults that the program does not produce over HTTP.
TEST_CASE("a lost answer leaves the write applied, and calls during an outage have no effect")
{
  Program program;
  auto& client = program.client;
  CHECK(program.setFaults({ { "lose_answers", 1 } }) == 200);
  CHECK_FALSE(client.Put("/objects/config/a?if_version=0", "{}", "application/json"));
  CHECK(client.Get("/objects/config/a")->status == 200);
  CHECK(program.setFaults({ { "down", true } }) == 200);
  CHECK_FALSE(client.Put("/objects/config/b?if_version=0", "{}", "application/json"));
  CHECK(program.setFaults({ { "down", false } }) == 200);
  CHECK(client.Get("/objects/config/b")->status == 404);
  const json stats = json::parse(client.Get("/stats")->body);
  CHECK(stats.at("calls").at("answers_lost").at("config") == 1);
  CHECK(stats.at("calls").at("dropped").at("put") == 1);
}

// Guards against malformed or excessive calls that are accepted.
TEST_CASE("the program refuses malformed and excessive calls")
{
  Program program({ "--writes_per_second=1", "--max_value_bytes=100" });
  auto& client = program.client;
  CHECK(client.Get("/watch/config?after=7&timeout_ms=1")->status == 410);
  CHECK(client.Get("/watch/config?timeout_ms=1")->status == 400);
  CHECK(client.Put("/objects/config/a", "{}", "application/json")->status == 400);
  const auto refused = client.Put("/objects/config/a?if_version=0", "{}", "application/json");
  CHECK(refused->status == 429);
  CHECK(refused->has_header("Retry-After"));
  CHECK(client.Get("/objects/config/a")->status == 404);
}

// Guards against a pending watch that stays open during an outage or misses a change.
TEST_CASE("a pending watch reports a change and is closed by an outage")
{
  Program program;
  const auto watch = [&](int after) {
    httplib::Client watcher("127.0.0.1", program.port);
    watcher.set_read_timeout(10s);
    return watcher.Get("/watch/config?after=" + std::to_string(after) + "&timeout_ms=9000");
  };
  const auto waitForWatches = [&](int count) {
    return test_process::waitUntil(
      [&] {
        const json calls = json::parse(program.client.Get("/stats")->body).at("calls");
        return calls.value("/watch/config"_json_pointer, 0) == count;
      },
      5s);
  };
  std::thread writer([&] {
    CHECK(waitForWatches(1));
    program.client.Put("/objects/config/a?if_version=0", "{}", "application/json");
  });
  CHECK(json::parse(watch(0)->body).at("objects").size() == 1);
  writer.join();
  std::thread outage([&] {
    CHECK(waitForWatches(2));
    program.setFaults({ { "down", true } });
  });
  CHECK_FALSE(watch(1));
  outage.join();
}
