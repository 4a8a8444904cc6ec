#include "ServiceReader.h"

#include <algorithm>

namespace sycamore::configuration {

namespace {

using nlohmann::json;

// Limit of the header Sycamore-Deadline-Ms.
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kMaxMethods = 256;
constexpr std::size_t kMaxDomains = 64;
constexpr std::size_t kMaxVocabularyEntries = 64;
constexpr std::size_t kMaxVocabularyTextBytes = 200;

bool isMethodName(const std::string& name)
{
  const auto isAllowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  };
  return !name.empty() && name.size() <= 63 && std::all_of(name.begin(), name.end(), isAllowed);
}

bool isDisplayText(const std::string& text)
{
  const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
  return !text.empty() && text.size() <= kMaxVocabularyTextBytes &&
         std::none_of(text.begin(), text.end(), isControl);
}

} // namespace

ServiceReader::ServiceReader(const json& document, ConfigFaults& faults)
  : fields_(document, "", faults)
{
}

ServiceConfig ServiceReader::read()
{
  readScalars();
  readVotes();
  readDomains();
  readWeights();
  readColdStart();
  readLimits();
  readObjective();
  readVocabulary();
  readMethods();
  fields_.finish();
  return std::move(config_);
}

void ServiceReader::readScalars()
{
  std::string id;
  if (fields_.read("service", id, true) && !isValidId(id)) {
    fields_.fault("service",
                  "must be 1 to 63 lower-case letters, digits or '-', with no '-' at either end");
  }
  config_.service = base::ServiceId(std::move(id));
  fields_.read("keyed", config_.keyed);
  fields_.read("shards", config_.shards, 1, 65536);
  fields_.read("slots_per_server", config_.slotsPerServer, 1, 1024);
  fields_.read("servers_check_tokens", config_.serversCheckTokens);
}

void ServiceReader::readVotes()
{
  std::string votes = "hold";
  fields_.read("votes", votes);
  if (votes != "hold" && votes != "move") {
    fields_.fault("votes", "must be \"hold\" or \"move\"");
  }
  config_.votes = votes == "move" ? VoteMode::Move : VoteMode::Hold;
}

void ServiceReader::readDomains()
{
  const json* domains = fields_.findArray("domains", true);
  if (domains == nullptr) {
    return;
  }
  if (domains->empty() || domains->size() > kMaxDomains) {
    fields_.fault("domains", "must name 1 to 64 failure domains");
    return;
  }
  for (std::size_t i = 0; i < domains->size(); ++i) {
    readDomain(i, (*domains)[i]);
  }
}

void ServiceReader::readDomain(std::size_t index, const json& value)
{
  const std::string path = pathTo("", "domains") + "/" + std::to_string(index);
  if (!value.is_string() || !isValidId(value.get<std::string>())) {
    fields_.faults().push_back({ path, "must be the id of a failure domain" });
    return;
  }
  const base::DomainId domain(value.get<std::string>());
  const auto& seen = config_.domains;
  if (std::find(seen.begin(), seen.end(), domain) != seen.end()) {
    fields_.faults().push_back({ path, "names failure domain \"" + domain.value() + "\" again" });
  }
  config_.domains.push_back(domain);
}

void ServiceReader::readWeights()
{
  const json* object = fields_.findObject("weights");
  if (object == nullptr) {
    return;
  }
  FieldReader weights(*object, fields_.pathOf("weights"), fields_.faults());
  weights.read("imbalance", config_.weights.imbalance, 0, 10);
  weights.read("churn", config_.weights.churn, 0, 10);
  weights.read("unavailable_time", config_.weights.unavailableTime, 0, 10);
  weights.read("domain_service", config_.weights.domainService, 0, 10);
  weights.read("tail_latency", config_.weights.tailLatency, 0, 10);
  weights.finish();
}

void ServiceReader::readColdStart()
{
  const json* object = fields_.findObject("cold_start");
  if (object == nullptr) {
    return;
  }
  FieldReader coldStart(*object, fields_.pathOf("cold_start"), fields_.faults());
  coldStart.read("limit", config_.coldStart.limit, 1, 1024);
  coldStart.read("ramp_ms", config_.coldStart.ramp, 0, 600'000);
  coldStart.finish();
}

void ServiceReader::readLimits()
{
  const json* object = fields_.findObject("limits");
  if (object == nullptr) {
    return;
  }
  FieldReader limits(*object, fields_.pathOf("limits"), fields_.faults());
  limits.read("queue_length", config_.limits.queueLength, 0, 100'000);
  limits.read("connections", config_.limits.connections, 1, 10'000);
  limits.read("body_bytes", config_.limits.bodyBytes, 0, 1ULL << 30);
  limits.finish();
}

void ServiceReader::readObjective()
{
  const json* object = fields_.findObject("objective");
  if (object == nullptr) {
    return;
  }
  FieldReader objective(*object, fields_.pathOf("objective"), fields_.faults());
  // A ratio of 1 would leave no error budget, so that every burn rate would be infinite.
  objective.read("good_ratio", config_.objective.goodRatio, 0.5, 0.999999);
  objective.read("latency_ms", config_.objective.latency, 1, kMaxDeadlineMs);
  objective.finish();
}

void ServiceReader::readVocabulary()
{
  const json* object = fields_.findObject("vocabulary");
  if (object == nullptr) {
    return;
  }
  if (object->size() > kMaxVocabularyEntries) {
    fields_.fault("vocabulary", "must have at most 64 entries");
  }
  for (const auto& [word, text] : object->items()) {
    if (!isDisplayText(word) || !text.is_string() || !isDisplayText(text.get<std::string>())) {
      fields_.faults().push_back({ pathTo(fields_.pathOf("vocabulary"), word),
                                   "must be text of 1 to 200 bytes without control characters" });
      continue;
    }
    config_.vocabulary[word] = text.get<std::string>();
  }
}

void ServiceReader::readMethods()
{
  const json* methods = fields_.findObject("methods", true);
  if (methods == nullptr) {
    return;
  }
  if (methods->empty() || methods->size() > kMaxMethods) {
    fields_.fault("methods", "must have 1 to 256 methods");
  }
  for (const auto& [name, object] : methods->items()) {
    const std::string path = pathTo(fields_.pathOf("methods"), name);
    if (!isMethodName(name)) {
      fields_.faults().push_back({ path, "name must be 1 to 63 letters, digits, '-' or '_'" });
    }
    if (!object.is_object()) {
      fields_.faults().push_back({ path, "must be an object" });
      continue;
    }
    config_.methods[base::MethodId(name)] = readMethod(object, path);
  }
}

MethodConfig ServiceReader::readMethod(const json& object, const std::string& path)
{
  MethodConfig config;
  FieldReader method(object, path, fields_.faults());
  method.read("idempotent", config.idempotent);
  method.read("deadline_ms", config.deadline, 1, kMaxDeadlineMs);
  readRetry(method, config);
  method.finish();
  return config;
}

void ServiceReader::readRetry(FieldReader& method, MethodConfig& config)
{
  const json* object = method.findObject("retry");
  if (object == nullptr) {
    return;
  }
  FieldReader retry(*object, method.pathOf("retry"), method.faults());
  retry.read("max_attempts", config.maxAttempts, 1, 10);
  retry.read("budget_ratio", config.retryBudgetRatio, 0, 1);
  if (!config.idempotent && config.maxAttempts > 1) {
    retry.fault("max_attempts", "must be 1, since the method is not idempotent");
  }
  retry.finish();
}

} // namespace sycamore::configuration
