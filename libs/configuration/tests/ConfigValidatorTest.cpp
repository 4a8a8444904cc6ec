#include <configuration/ConfigDigest.h>
#include <configuration/ConfigError.h>
#include <configuration/ConfigValidator.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sycamore;
using namespace sycamore::configuration;
using nlohmann::json;

namespace {

json soundService()
{
  return json::parse(R"({"service": "layout", "keyed": true, "shards": 256, "slots_per_server": 2,
    "servers_check_tokens": true, "votes": "hold", "domains": ["a", "b", "c"],
    "weights": {"churn": 0.5}, "cold_start": {"limit": 1, "ramp_ms": 10000},
    "methods": {"plan": {"idempotent": true, "deadline_ms": 2000,
                         "retry": {"max_attempts": 3, "budget_ratio": 0.1}}},
    "objective": {"good_ratio": 0.999, "latency_ms": 50},
    "vocabulary": {"run": "night label run"}})");
}

std::string pathsOf(const ConfigFaults& faults)
{
  std::string paths;
  for (const auto& fault : faults) {
    paths += (paths.empty() ? "" : " ") + fault.path;
  }
  return paths;
}

const std::set<base::DomainId> kDomains{ base::DomainId("a"),
                                         base::DomainId("b"),
                                         base::DomainId("c") };

} // namespace

// Guards against a layout that differs from the one in the design.
TEST_CASE("the design's example is read in full")
{
  const auto read = ConfigValidator().checkServiceChange(
    base::ServiceId("layout"), soundService().dump(), kDomains);
  REQUIRE(read.config);
  CHECK(read.config->serversCheckTokens);
  CHECK(read.config->weights.churn == 0.5);
  const MethodConfig plan = read.config->methods.at(base::MethodId("plan"));
  CHECK(plan == MethodConfig{ true, base::milliseconds(2000), 3, 0.1 });
  CHECK(read.config->objective.latency == base::milliseconds(50));
}

// Guards against display words that change behaviour.
TEST_CASE("a change of vocabulary changes nothing else")
{
  json other = soundService();
  other["vocabulary"] = { { "run", "royalty payout" }, { "hot", "viral verse" } };
  auto one = ConfigValidator().readService(soundService().dump()).config;
  auto two = ConfigValidator().readService(other.dump()).config;
  REQUIRE((one && two));
  one->vocabulary.clear();
  two->vocabulary.clear();
  CHECK(*one == *two);
}

// Guards against bad configurations that are taken, taken in part, or refused without a place.
TEST_CASE("each fault of a service's document is refused at its path")
{
  const std::vector<std::pair<const char*, const char*>> cases{
    { R"([{"op":"add","path":"/slots","value":1}])", "/slots" },
    { R"([{"op":"add","path":"/writers","value":[]}])", "/writers" },
    { R"([{"op":"add","path":"/deleted","value":true}])", "/deleted" },
    { R"([{"op":"remove","path":"/methods"}])", "/methods" },
    { R"([{"op":"replace","path":"/methods","value":{}}])", "/methods" },
    { R"([{"op":"replace","path":"/shards","value":0}])", "/shards" },
    { R"([{"op":"replace","path":"/shards","value":-1}])", "/shards" },
    { R"([{"op":"replace","path":"/shards","value":16.5}])", "/shards" },
    { R"([{"op":"replace","path":"/shards","value":18446744073709551615}])", "/shards" },
    { R"([{"op":"replace","path":"/shards","value":"256"}])", "/shards" },
    { R"([{"op":"replace","path":"/keyed","value":1}])", "/keyed" },
    { R"([{"op":"replace","path":"/votes","value":"stay"}])", "/votes" },
    { R"([{"op":"replace","path":"/service","value":"Layout"}])", "/service" },
    { R"([{"op":"replace","path":"/service","value":"label"}])", "/service" },
    { R"([{"op":"replace","path":"/domains","value":[]}])", "/domains" },
    { R"([{"op":"replace","path":"/domains/1","value":"a"}])", "/domains/1" },
    { R"([{"op":"replace","path":"/domains/2","value":"moon"}])", "/domains/2" },
    { R"([{"op":"replace","path":"/weights/churn","value":11}])", "/weights/churn" },
    { R"([{"op":"add","path":"/weights/speed","value":1}])", "/weights/speed" },
    { R"([{"op":"replace","path":"/cold_start/limit","value":3}])", "/cold_start/limit" },
    { R"([{"op":"replace","path":"/objective/good_ratio","value":1}])", "/objective/good_ratio" },
    { R"([{"op":"replace","path":"/objective/latency_ms","value":2001}])",
      "/objective/latency_ms" },
    { R"([{"op":"replace","path":"/vocabulary/run","value":"a\nb"}])", "/vocabulary/run" },
    { R"([{"op":"replace","path":"/methods/plan/deadline_ms","value":3600001}])",
      "/methods/plan/deadline_ms" },
    { R"([{"op":"replace","path":"/methods/plan/idempotent","value":false}])",
      "/methods/plan/retry/max_attempts" },
    { R"([{"op":"add","path":"/methods/a~1b","value":{}}])", "/methods/a~1b" },
    { R"([{"op":"add","path":"/limits","value":{"body_bytes":-5}}])", "/limits/body_bytes" },
    { R"([{"op":"replace","path":"/shards","value":0},{"op":"replace","path":"/votes","value":3}])",
      "/shards /votes" },
    { R"([{"op":"replace","path":"/votes","value":"move"},
          {"op":"replace","path":"/domains","value":["a"]}])",
      "/votes" },
  };
  for (const auto& [patch, paths] : cases) {
    CAPTURE(patch);
    const auto read = ConfigValidator().checkServiceChange(
      base::ServiceId("layout"), soundService().patch(json::parse(patch)).dump(), kDomains);
    CHECK_FALSE(read.config);
    CHECK(pathsOf(read.faults) == paths);
  }
}

// Guards against texts that aren't documents at all, and against fields that hide one another.
TEST_CASE("texts that aren't one JSON object are refused")
{
  const std::string deep(60'000, '[');
  for (const std::string& text : { std::string(),
                                   std::string("null"),
                                   std::string("{}{}"),
                                   deep,
                                   std::string("{\"service\":\"\xff\"}"),
                                   std::string(70'000, ' '),
                                   std::string(R"({"shards":1e999})"),
                                   std::string(R"({"shards":1,"shards":2})") }) {
    CHECK_FALSE(ConfigValidator().readService(text).config);
    CHECK_FALSE(ConfigValidator().readDomain(text).faults.empty());
  }
  CHECK_THROWS_AS(ConfigDigest::parse("0x12"), ConfigError);
}

// Guards against a crash or an exception by a document that was damaged on its way.
TEST_CASE("a document with random damage is read or refused, and never both")
{
  CHECK(rc::check([] {
    std::string text = soundService().dump();
    for (int damage = *rc::gen::inRange(1, 6); damage > 0; --damage) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    const auto read = ConfigValidator().readService(text);
    RC_ASSERT(read.config.has_value() == read.faults.empty());
  }));
}
