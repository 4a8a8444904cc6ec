#include "FakeBackend.h"

#include <Ctl.h>
#include <CtlError.h>
#include <ShardList.h>

#include <absl/flags/reflection.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <operators/OperatorService.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace sycamore;
using ctl::ExitStatus;

namespace {

operators::OperatorServiceSettings openSettings()
{
  operators::OperatorServiceSettings settings;
  settings.allowAnonymousCalls = true;
  return settings;
}

// A file in the test's working directory, removed at the end.
class TemporaryFile
{
public:
  TemporaryFile(std::string path, const std::string& text)
    : path_(std::move(path))
  {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }

  const std::string& path() const { return path_; }
  std::string text() const
  {
    std::ostringstream text;
    text << std::ifstream(path_).rdbuf();
    return text.str();
  }

private:
  std::string path_;
};

// Runs commands against a server in this process. Each run starts with the flags' default values.
struct Fixture
{
  explicit Fixture(operators::OperatorServiceSettings settings = openSettings())
    : service(std::move(settings), backend)
    , address("127.0.0.1:" + std::to_string(service.port()))
  {
  }

  ExitStatus run(std::vector<std::string> arguments, bool withServer = true)
  {
    const absl::FlagSaver flags;
    if (withServer) {
      arguments.insert(arguments.begin(), { "--server", address });
    }
    std::ostringstream outStream;
    std::ostringstream errStream;
    const ExitStatus status = ctl::runCtl(arguments, outStream, errStream);
    out = outStream.str();
    err = errStream.str();
    return status;
  }

  operators::FakeBackend backend;
  operators::OperatorService service;
  std::string address;
  std::string out;
  std::string err;
};

bool contains(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}

} // namespace

// Guards against scripts that mistake a failure for a success, or a conflict for another failure.
TEST_CASE("exit statuses distinguish success, failure, usage, conflict and unreachable servers")
{
  const TemporaryFile document("ctl_test_layout.json", R"({"service":"layout"})");
  const TemporaryFile noService("ctl_test_other.json", R"({"domain":"a"})");
  Fixture fixture;
  const std::vector<std::pair<ExitStatus, std::vector<std::string>>> cases{
    { ExitStatus::Ok, { "service", "list" } },
    { ExitStatus::Ok, { "service", "create", document.path() } },
    { ExitStatus::Ok, { "service", "update", document.path(), "--base=7" } },
    { ExitStatus::Ok, { "service", "update", document.path(), "--base", "7", "--dry-run" } },
    { ExitStatus::Ok, { "service", "delete", "layout", "--base=7" } },
    { ExitStatus::Ok, { "service", "get", "layout" } },
    { ExitStatus::Ok, { "service", "watch", "--timeout=200ms" } },
    { ExitStatus::Ok, { "domain", "list" } },
    { ExitStatus::Ok, { "domain", "out", "a", "--reason=fire drill" } },
    { ExitStatus::Ok, { "domain", "in", "a" } },
    { ExitStatus::Ok, { "placement", "show", "layout" } },
    { ExitStatus::Ok, { "placement", "plan", "layout", "--shards=1,4-9", "--dry-run" } },
    { ExitStatus::Ok, { "server", "drain", "layout", "layout-1" } },
    { ExitStatus::Ok, { "explain", "layout", "--", "--store" } },
    { ExitStatus::Ok, { "owners" } },
    { ExitStatus::Ok, { "tenancies", "layout" } },
    { ExitStatus::Ok, { "moves" } },
    { ExitStatus::Ok, { "quarantine", "list" } },
    { ExitStatus::Ok, { "quarantine", "lift", "q1" } },
    { ExitStatus::Ok, { "config", "status" } },
    { ExitStatus::Ok, { "burn", "layout" } },
    { ExitStatus::Ok, { "loglevel", "debug" } },
    { ExitStatus::Ok, { "version" } },
    { ExitStatus::Failed, { "service", "get", "absent" } },
    { ExitStatus::Failed, { "service", "get", "slow", "--timeout=100ms" } },
    { ExitStatus::Failed, { "service", "delete", "doubtful", "--base=7" } },
    { ExitStatus::Failed, { "service", "delete", "faulty", "--base=7" } },
    { ExitStatus::Failed, { "domain", "out", "moon" } },
    { ExitStatus::Failed, { "quarantine", "lift", "q2" } },
    { ExitStatus::Usage, { "service" } },
    { ExitStatus::Usage, { "shelve" } },
    { ExitStatus::Usage, { "service", "get" } },
    { ExitStatus::Usage, { "service", "get", "layout", "label" } },
    { ExitStatus::Usage, { "service", "get", "layout", "--colour" } },
    { ExitStatus::Usage, { "service", "update", document.path() } },
    { ExitStatus::Usage, { "service", "create", noService.path() } },
    { ExitStatus::Usage, { "service", "create", "ctl_test_absent.json" } },
    { ExitStatus::Usage, { "service", "list", "--output=xml" } },
    { ExitStatus::Usage, { "service", "list", "--timeout=soon" } },
    { ExitStatus::Usage, { "placement", "plan", "layout" } },
    { ExitStatus::Usage, { "placement", "plan", "layout", "--shards=9-1" } },
    { ExitStatus::Usage, { "loglevel", "debug", "--dry-run" } },
    { ExitStatus::Conflict, { "service", "update", document.path(), "--base=6" } },
    { ExitStatus::Conflict, { "domain", "out", "a", "--base=6" } },
  };
  for (const auto& [status, arguments] : cases) {
    CAPTURE(arguments.front());
    CAPTURE(arguments.back());
    CHECK(fixture.run(arguments) == status);
    CHECK((status == ExitStatus::Usage) == contains(fixture.err, "--help"));
  }
  CHECK(fixture.run({ "service", "list", "--server=127.0.0.1:1" }, false) ==
        ExitStatus::Unreachable);
  CHECK(fixture.run({ "service", "list" }, false) == ExitStatus::Usage);
}

// Guards against an operator who can't work because the first entry VM of the list has failed.
TEST_CASE("servers are tried in order until one can be reached")
{
  Fixture fixture;
  const std::string servers = "--server=127.0.0.1:1," + fixture.address;
  CHECK(fixture.run({ "version", servers }, false) == ExitStatus::Ok);
  CHECK(contains(fixture.out, "vm-a1"));
}

// Guards against a conflict whose report doesn't say how to go on.
TEST_CASE("a conflict shows the difference and the version to base the next attempt on")
{
  const TemporaryFile document("ctl_test_conflict.json", R"({"service":"layout"})");
  Fixture fixture;
  fixture.run({ "service", "update", document.path(), "--base=6" });
  CHECK(contains(fixture.out, "/votes"));
  CHECK(contains(fixture.out, "--base 7"));
  fixture.run({ "service", "update", document.path(), "--base=6", "--output=json" });
  CHECK(nlohmann::json::parse(fixture.out)["outcome"] == "CONFLICT");
}

// Guards against a wrong or missing token that is reported as an unreachable server.
TEST_CASE("the token is read from its file")
{
  operators::OperatorServiceSettings settings;
  settings.tokens = {
    { "night-shift", "change-token-0123456789", operators::OperatorRole::Change }
  };
  Fixture fixture(settings);
  const TemporaryFile token("ctl_test_token", "change-token-0123456789\n");
  CHECK(fixture.run({ "version" }) == ExitStatus::Failed);
  CHECK(contains(fixture.err, "--token_file"));
  CHECK(fixture.run({ "loglevel", "debug", "--token_file", token.path() }) == ExitStatus::Ok);
}

// Guards against an HTML page that is lost or printed into the table.
TEST_CASE("the HTML page of the burn report is written to its file only")
{
  const TemporaryFile page("ctl_test_burn.html", "");
  Fixture fixture;
  CHECK(fixture.run({ "burn", "--html", page.path() }) == ExitStatus::Ok);
  CHECK(page.text() == "<html>");
  CHECK(contains(fixture.out, "0.9995"));
  CHECK_FALSE(contains(fixture.out, "<html>"));
}

// Guards against help that needs a server, and against a completion script that lacks a command.
TEST_CASE("help and completion need no server")
{
  Fixture fixture;
  CHECK(fixture.run({ "placement", "plan", "--help" }, false) == ExitStatus::Ok);
  CHECK(contains(fixture.out, "--shards"));
  CHECK(fixture.run({ "completion" }, false) == ExitStatus::Ok);
  CHECK(contains(fixture.out, "quarantine) choices=\"lift list\""));
}

// Guards against ranges of shards that use up the memory.
TEST_CASE("the length of a shard list is limited")
{
  CHECK(ctl::parseShards("1,4-6") == std::vector<std::uint32_t>{ 1, 4, 5, 6 });
  CHECK(ctl::parseShards("0-65535").size() == 65536);
  CHECK_THROWS_AS(ctl::parseShards("0-65536"), ctl::CtlError);
  CHECK_THROWS_AS(ctl::parseShards("0-4294967295"), ctl::CtlError);
  CHECK_THROWS_AS(ctl::parseShards("1,,2"), ctl::CtlError);
}
