#include "PlatformService.h"

#include <charconv>
#include <optional>
#include <thread>

namespace sycamore::platform_stub {

using nlohmann::json;
using test_http::StubHttpServer;

namespace {

// Longest time that a watch waits for a change.
constexpr std::int64_t kMaxWatchMs = 60000;

void answer(httplib::Response& response, int status, const json& body)
{
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

void fail(httplib::Response& response, int status, const std::string& message)
{
  answer(response, status, { { "error", message } });
}

std::optional<std::uint64_t> numberParam(const httplib::Request& request, const char* name)
{
  const std::string text = request.get_param_value(name);
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

void sleepMs(std::int64_t ms)
{
  std::this_thread::sleep_for(base::milliseconds(ms));
}

void assignNumber(const json& body, const char* field, std::atomic<std::int64_t>& target)
{
  if (body.contains(field)) {
    target = body.at(field).get<std::int64_t>();
  }
}

} // namespace

PlatformService::PlatformService(const Limits& limits)
  : limits_(limits)
  , writes_(limits.writesPerSecond)
  , reads_(limits.readsPerSecond)
{
}

void PlatformService::registerHandlers(StubHttpServer& server)
{
  static const std::string kObject = R"(/objects/([\w.-]{1,128})/([\w.-]{1,128}))";
  server.Get(kObject, makeHandler("get", reads_, &PlatformService::getObject));
  server.Get(R"(/objects/([\w.-]{1,128}))",
             makeHandler("list", reads_, &PlatformService::listObjects));
  server.Put(kObject, makeHandler("put", writes_, &PlatformService::putObject));
  server.Delete(kObject, makeHandler("delete", writes_, &PlatformService::deleteObject));
  server.Get(R"(/watch/([\w.-]{1,128}))",
             makeHandler("watch", reads_, &PlatformService::watchObjects));
  server.Get("/vms", makeHandler("vms", reads_, &PlatformService::listVms));

  static const std::string kVm = R"(/admin/vms/([\w.-]{1,128}))";
  server.Put(kVm, [this](const auto& request, auto& response) { putVm(request, response); });
  server.Delete(kVm, [this](const auto& request, auto& response) { deleteVm(request, response); });
  server.Post("/faults",
              [this](const auto& request, auto& response) { setFaults(request, response); });
  server.Get("/stats", [this](const auto& request, auto& response) { stats(request, response); });
  server.set_exception_handler([](const auto&, auto& response, std::exception_ptr error) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& caught) {
      fail(response, 400, caught.what());
    }
  });
}

httplib::Server::Handler PlatformService::makeHandler(const char* name,
                                                      RateLimit& limit,
                                                      Handler handler)
{
  return [this, name, &limit, handler](const Request& request, Response& response) {
    const std::string kind = request.matches.size() > 1 ? request.matches[1].str() : "";
    if (admit(name, limit, kind, response)) {
      (this->*handler)(request, response);
    }
  };
}

bool PlatformService::admit(const char* name,
                            RateLimit& limit,
                            const std::string& kind,
                            Response& response)
{
  if (faults_.down) {
    calls_.add("dropped", name);
    StubHttpServer::dropCurrentConnection();
    return false;
  }
  calls_.add(name, kind);
  if (!limit.admit(clock_.now())) {
    calls_.add("rate_limited", name);
    response.set_header("Retry-After", "1");
    fail(response, 429, "rate limit reached");
    return false;
  }
  sleepMs(faults_.slowMs);
  return true;
}

void PlatformService::getObject(const Request& request, Response& response)
{
  const json object = objects_.get(request.matches[1], request.matches[2]);
  if (object.is_null()) {
    fail(response, 404, "no object " + request.matches[1].str() + "/" + request.matches[2].str());
  } else {
    answer(response, 200, object);
  }
}

void PlatformService::listObjects(const Request& request, Response& response)
{
  answer(response, 200, objects_.list(request.matches[1]));
}

void PlatformService::putObject(const Request& request, Response& response)
{
  const auto expectedVersion = numberParam(request, "if_version");
  if (!expectedVersion) {
    return fail(response, 400, "if_version is required");
  }
  if (request.body.size() > limits_.maxValueBytes) {
    return fail(response,
                413,
                "value above the limit of " + std::to_string(limits_.maxValueBytes) + " bytes");
  }
  answerWrite(
    objects_.put(
      request.matches[1], request.matches[2], *expectedVersion, json::parse(request.body)),
    response);
}

void PlatformService::deleteObject(const Request& request, Response& response)
{
  const auto expectedVersion = numberParam(request, "if_version");
  if (!expectedVersion) {
    return fail(response, 400, "if_version is required");
  }
  answerWrite(objects_.remove(request.matches[1], request.matches[2], *expectedVersion), response);
}

void PlatformService::answerWrite(const ObjectTable::WriteResult& result, Response& response)
{
  if (!result.isApplied) {
    calls_.add("conflicts", result.object.at("kind"));
    return answer(response, 409, result.object);
  }
  if (faults_.answersToLose > 0 && faults_.answersToLose.fetch_sub(1) > 0) {
    calls_.add("answers_lost", result.object.at("kind"));
    return StubHttpServer::dropCurrentConnection();
  }
  answer(response, 200, { { "version", result.object.at("version") } });
}

void PlatformService::watchObjects(const Request& request, Response& response)
{
  const auto after = numberParam(request, "after");
  const auto timeoutMs = numberParam(request, "timeout_ms");
  if (!after || !timeoutMs) {
    return fail(response, 400, "after and timeout_ms are required");
  }
  if (*after > objects_.revision()) {
    return fail(
      response, 410, "revision " + std::to_string(*after) + " is unknown; list the objects again");
  }
  const auto wait = base::milliseconds(std::min<std::uint64_t>(*timeoutMs, kMaxWatchMs));
  const json changes = objects_.watch(
    request.matches[1], *after, clock_.now() + wait, [this] { return faults_.down.load(); });
  sleepMs(faults_.watchDelayMs);
  if (faults_.down) {
    return StubHttpServer::dropCurrentConnection();
  }
  answer(response, 200, changes);
}

void PlatformService::listVms(const Request& /*request*/, Response& response)
{
  answer(response, 200, vms_.visible(clock_.now()));
}

void PlatformService::putVm(const Request& request, Response& response)
{
  vms_.put(request.matches[1], json::parse(request.body), clock_.now());
  answer(response, 200, json::object());
}

void PlatformService::deleteVm(const Request& request, Response& response)
{
  vms_.remove(request.matches[1], clock_.now());
  answer(response, 200, json::object());
}

void PlatformService::setFaults(const Request& request, Response& response)
{
  const json body = json::parse(request.body);
  if (body.contains("down")) {
    faults_.down = body.at("down").get<bool>();
  }
  assignNumber(body, "slow_ms", faults_.slowMs);
  assignNumber(body, "lose_answers", faults_.answersToLose);
  assignNumber(body, "watch_delay_ms", faults_.watchDelayMs);
  if (body.contains("list_lag_ms")) {
    vms_.setLag(base::milliseconds(body.at("list_lag_ms").get<std::int64_t>()));
  }
  if (body.contains("list_stale")) {
    vms_.setStale(body.at("list_stale").get<bool>(), clock_.now());
  }
  answer(response, 200, json::object());
}

void PlatformService::stats(const Request& /*request*/, Response& response)
{
  answer(response, 200, { { "calls", calls_.snapshot() }, { "revision", objects_.revision() } });
}

} // namespace sycamore::platform_stub
