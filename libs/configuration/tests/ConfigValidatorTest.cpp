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

json validService()
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

// Guards against a document layout that differs from the one in the design document.
TEST_CASE("all fields of the example in the design document are read")
{
  const auto read = ConfigValidator().checkServiceChange(
    base::ServiceId("layout"), validService().dump(), kDomains);
  REQUIRE(read.config);
  CHECK(read.config->serversCheckTokens);
  CHECK(read.config->weights.churn == 0.5);
  const MethodConfig plan = read.config->methods.at(base::MethodId("plan"));
  CHECK(plan == MethodConfig{ true, base::milliseconds(2000), 3, 0.1 });
  CHECK(read.config->objective.latency == base::milliseconds(50));
}

// Guards against display names that affect behaviour.
TEST_CASE("a change of the vocabulary changes no other field")
{
  json other = validService();
  other["vocabulary"] = { { "run", "royalty payout" }, { "hot", "viral verse" } };
  auto one = ConfigValidator().readService(validService().dump()).config;
  auto two = ConfigValidator().readService(other.dump()).config;
  REQUIRE((one && two));
  one->vocabulary.clear();
  two->vocabulary.clear();
  CHECK(*one == *two);
}

// Guards against invalid configurations that are accepted in full or in part, or refused without
// the path of the fault.
TEST_CASE("each fault of a service's document is reported with its path")
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
      base::ServiceId("layout"), validService().patch(json::parse(patch)).dump(), kDomains);
    CHECK_FALSE(read.config);
    CHECK(pathsOf(read.faults) == paths);
  }
}

// Guards against text that isn't a JSON document, and against duplicate fields of which one
// overrides the other.
TEST_CASE("text that isn't a single JSON object without duplicate fields is refused")
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

// Guards against a crash or an exception when a document was corrupted.
TEST_CASE("a randomly corrupted document is either accepted or refused with faults")
{
  CHECK(rc::check([] {
    std::string text = validService().dump();
    for (int corruptions = *rc::gen::inRange(1, 6); corruptions > 0; --corruptions) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    const auto read = ConfigValidator().readService(text);
    RC_ASSERT(read.config.has_value() == read.faults.empty());
  }));
}
