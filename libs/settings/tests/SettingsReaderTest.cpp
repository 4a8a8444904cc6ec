#include <algorithm>
#include <doctest/doctest.h>
#include <settings/SettingsReader.h>

using namespace sycamore;
using settings::SettingsError;
using settings::SettingsReader;

namespace {

std::vector<std::string> faultsOf(SettingsReader& reader)
{
  try {
    reader.finish();
  } catch (const SettingsError& error) {
    return error.faults();
  }
  return {};
}

bool anyStartsWith(const std::vector<std::string>& faults, const std::string& prefix)
{
  return std::any_of(
    faults.begin(), faults.end(), [&](const std::string& f) { return f.starts_with(prefix); });
}

} // namespace

// Guards against an operator who has to restart the daemon once per fault of the file.
TEST_CASE("all faults are reported at once with their paths")
{
  auto reader = SettingsReader::parse(R"({"id": 5, "peers": [{"port": 70000}, {"prt": 1}, 3]})");
  reader.text("id", 1, 63);
  reader.boolean("check");
  for (auto& peer : reader.objects("peers", 1, 8)) {
    peer.integer<int>("port", 1, 65535);
  }
  const auto faults = faultsOf(reader);
  CHECK(faults.size() == 6);
  CHECK(anyStartsWith(faults, "/id: must be a string"));
  CHECK(anyStartsWith(faults, "/check: is required"));
  CHECK(anyStartsWith(faults, "/peers/0/port: must be between 1 and 65535"));
  CHECK(anyStartsWith(faults, "/peers/1/port: is required"));
  CHECK(anyStartsWith(faults, "/peers/1/prt: unknown field"));
  CHECK(anyStartsWith(faults, "/peers/2: must be an object"));
}

// Guards against a misspelt optional field whose default is silently used instead.
TEST_CASE("a misspelt optional field is a fault")
{
  auto reader = SettingsReader::parse(R"({"thread": 4})");
  CHECK(reader.integer<int>("threads", 1, 64, 8) == 8);
  CHECK(faultsOf(reader) == std::vector<std::string>{ "/thread: unknown field" });
}

// Guards against valid settings that are refused or altered.
TEST_CASE("valid settings yield their values")
{
  auto reader = SettingsReader::parse(R"({"id":"vm-a1","listen":"127.0.0.1:0","six":"[::1]:80",
      "mode":"hold","ratio":0.5,"on":true,"wait_ms":250,"domains":["a","b"],"tls":{"depth":-2}})");
  CHECK(reader.text("id", 1, 63) == "vm-a1");
  CHECK(reader.address("listen", 0) == "127.0.0.1:0");
  CHECK(reader.address("six") == "[::1]:80");
  CHECK(reader.oneOf("mode", { "hold", "move" }) == "hold");
  CHECK(reader.number("ratio", 0, 1) == 0.5);
  CHECK(reader.boolean("on"));
  CHECK(reader.millis("wait_ms", base::milliseconds(1), base::milliseconds(1000)) ==
        base::milliseconds(250));
  CHECK(reader.texts("domains", 1, 5) == std::vector<std::string>{ "a", "b" });
  CHECK(reader.object("tls").integer<int>("depth", -3, 3) == -2);
  CHECK(faultsOf(reader).empty());
}

// Guards against numbers that overflow or are rounded on conversion.
TEST_CASE("integers outside the bounds or of another type are refused")
{
  for (const char* value : { "18446744073709551615", "-1", "256", "1.5", "1e2", "\"7\"", "null" }) {
    auto reader = SettingsReader::parse(std::string(R"({"n":)") + value + "}");
    CHECK(reader.integer<std::uint8_t>("n", 3, 255) == 3);
    CHECK_MESSAGE(faultsOf(reader).size() == 1, value);
  }
}

// Guards against a malformed address that is noticed only when the daemon first connects.
TEST_CASE("malformed addresses are refused")
{
  for (const char* text :
       { "", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "1.2.3:5" }) {
    auto reader = SettingsReader(nlohmann::json{ { "a", text } });
    reader.address("a");
    CHECK_MESSAGE(faultsOf(reader).size() == 1, text);
  }
}

// Guards against a parser that silently keeps the last of two contradicting fields.
TEST_CASE("a duplicate field is a fault")
{
  auto reader = SettingsReader::parse(R"({"a":{"x":1,"x":2}})");
  reader.object("a").integer<int>("x", 0, 9);
  CHECK(faultsOf(reader) == std::vector<std::string>{ "/a/x: occurs twice" });
}

// Guards against a missing object that causes a fault for each of its fields.
TEST_CASE("a missing object is reported once")
{
  auto reader = SettingsReader::parse("{}");
  reader.object("platform").address("address");
  CHECK(faultsOf(reader) == std::vector<std::string>{ "/platform: is required" });
}

// Guards against faults found by the caller that are not reported.
TEST_CASE("a fault added by the caller is reported")
{
  auto reader = SettingsReader::parse(R"({"low":5,"high":3})");
  if (reader.integer<int>("low", 0, 9) > reader.integer<int>("high", 0, 9)) {
    reader.fault("low", "must not be above high");
  }
  CHECK(faultsOf(reader) == std::vector<std::string>{ "/low: must not be above high" });
}

// Guards against a daemon that starts with defaults because its settings file can't be read.
TEST_CASE("unreadable documents throw")
{
  CHECK_THROWS_AS(SettingsReader::parse("{"), SettingsError);
  CHECK_THROWS_AS(SettingsReader::readFile("/nonexistent/settings.json"), SettingsError);
  auto reader = SettingsReader::parse("[1]");
  CHECK(faultsOf(reader) == std::vector<std::string>{ "/: must be an object" });
}
