#include "BackendService.h"

#include "BodyDigest.h"
#include "WorkHeaders.h"

#include <backend_stub/EchoPattern.h>
#include <base/Error.h>

#include <algorithm>
#include <array>
#include <random>

namespace sycamore::backend_stub {

using nlohmann::json;
using test_http::StubHttpServer;

namespace {

// Size of the chunks in which an echoed body is generated; limits its memory.
constexpr std::size_t kEchoChunkBytes = 65536;

void answer(httplib::Response& response, const json& body)
{
  // Keys may contain bytes that are not valid UTF-8.
  const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  response.set_content(text, "application/json");
}

std::uint64_t newIncarnation()
{
  // 48 bits, because JSON readers may keep numbers as doubles.
  return (static_cast<std::uint64_t>(std::random_device{}()) << 16) |
         (std::random_device{}() & 0xffff);
}

void setEcho(httplib::Response& response, const Work& work, Capacity::Slot slot)
{
  if (*work.echoBytes == 0) {
    return response.set_content("", "application/octet-stream");
  }
  const EchoPattern pattern(work.requestId);
  response.set_content_provider(*work.echoBytes,
                                "application/octet-stream",
                                [pattern, slot = std::move(slot)](
                                  std::size_t offset, std::size_t length, httplib::DataSink& sink) {
                                  std::array<char, kEchoChunkBytes> chunk;
                                  const std::size_t size = std::min(length, chunk.size());
                                  pattern.fill(offset, chunk.data(), size);
                                  return sink.write(chunk.data(), size);
                                });
}

} // namespace

BackendService::BackendService(Options options, StubHttpServer& server)
  : options_(std::move(options))
  , incarnation_(newIncarnation())
  , server_(server)
  , grants_(clock_.now(), options_.checkTokens)
  , capacity_(options_.capacity, clock_.now())
  , journal_(incarnation_, options_.journalFile)
  , load_(options_.lag)
  , runner_(options_.serviceTime, grants_, journal_, faults_, server.gate())
{
  recordLoad();
}

httplib::Server::Handler BackendService::toHttpHandler(Handler handler)
{
  return [this, handler](const Request& request, Response& response) {
    (this->*handler)(request, response);
  };
}

void BackendService::registerHandlers()
{
  server_.Post("/sycamore/grant", toHttpHandler(&BackendService::grant));
  server_.Post("/sycamore/release", toHttpHandler(&BackendService::release));
  server_.Post("/sycamore/cancel", toHttpHandler(&BackendService::cancel));
  server_.Get("/sycamore/health", toHttpHandler(&BackendService::health));
  server_.Get("/sycamore/load", toHttpHandler(&BackendService::load));
  server_.Get("/journal", toHttpHandler(&BackendService::journal));
  server_.Get("/stats", toHttpHandler(&BackendService::stats));
  server_.Post("/drain", toHttpHandler(&BackendService::drain));
  server_.Post("/faults", toHttpHandler(&BackendService::setFaults));
  registerWorkHandlers();
  server_.set_exception_handler([](const auto&, auto& response, std::exception_ptr error) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& caught) {
      response.status = 400;
      answer(response, { { "error", caught.what() } });
    }
  });
}

void BackendService::registerWorkHandlers()
{
  const std::string path = "/v1/.*";
  const auto streamed =
    [this](const Request& request, Response& response, const httplib::ContentReader& reader) {
      handleWork(request, response, &reader);
    };
  server_.Post(path, streamed);
  server_.Put(path, streamed);
  server_.Get(
    path, [this](const auto& request, auto& response) { handleWork(request, response, nullptr); });
  server_.Delete(path, [this](const Request& request, Response& response) {
    handleWork(request, response, nullptr);
  });
}

std::string BackendService::state(base::TimePoint now) const
{
  if (draining_) {
    return "draining";
  }
  return capacity_.isCold(now) ? "cold" : "warm";
}

void BackendService::recordLoad()
{
  const base::TimePoint now = clock_.now();
  const unsigned inFlight = capacity_.inFlight();
  load_.record(now,
               { { "slots", capacity_.slots() },
                 { "in_flight", inFlight },
                 { "utilization", static_cast<double>(inFlight) / capacity_.slots() },
                 { "state", state(now) } });
}

void BackendService::grant(const Request& request, Response& response)
{
  const json message = json::parse(request.body);
  const base::TimePoint now = clock_.now();
  const std::string reason = refuseGrants_ ? "refused" : grants_.accept(message, now);
  answer(response,
         { { "accepted", reason.empty() },
           { "server_time_ns", now.time_since_epoch().count() },
           { "incarnation", incarnation_ },
           { "highest_term", grants_.highestTerm() },
           { "state", state(now) },
           { "in_flight", capacity_.inFlight() },
           { "reason", reason } });
}

void BackendService::release(const Request& request, Response& response)
{
  const json message = json::parse(request.body);
  const auto wait = base::milliseconds(message.value("wait_ms", 0));
  answer(response, { { "released", grants_.release(message, clock_.now() + wait) } });
}

void BackendService::cancel(const Request& request, Response& response)
{
  const json message = json::parse(request.body);
  answer(response,
         { { "cancelled", runner_.cancel(message.at("request_id").get<std::string>()) } });
}

void BackendService::health(const Request& /*request*/, Response& response)
{
  recordLoad();
  const bool draining = load_.visible(clock_.now()).at("state") == "draining";
  answer(response, { { "status", draining ? "draining" : "ok" } });
}

void BackendService::load(const Request& /*request*/, Response& response)
{
  recordLoad();
  answer(response, load_.visible(clock_.now()));
}

void BackendService::journal(const Request& request, Response& response)
{
  const std::string after = request.get_param_value("after");
  answer(response, journal_.entriesAfter(after.empty() ? 0 : std::stoull(after)));
}

void BackendService::stats(const Request& /*request*/, Response& response)
{
  json body = capacity_.counts();
  body["server"] = options_.server;
  body["incarnation"] = incarnation_;
  body["state"] = state(clock_.now());
  body["executions"] = journal_.counts();
  {
    const std::lock_guard lock(refusedMutex_);
    body["refused"] = refused_;
  }
  answer(response, body);
}

void BackendService::drain(const Request& request, Response& response)
{
  draining_ = request.body.empty() || json::parse(request.body).value("draining", true);
  recordLoad();
  answer(response, { { "state", state(clock_.now()) } });
}

void BackendService::setFaults(const Request& request, Response& response)
{
  const json body = json::parse(request.body);
  const base::TimePoint now = clock_.now();
  if (body.value("cold", false)) {
    capacity_.makeCold(now);
  }
  if (body.contains("crash_request_id")) {
    faults_.crashOnRequest(body.at("crash_request_id"));
  }
  if (body.contains("crash_key")) {
    faults_.crashOnKey(body.at("crash_key"));
  }
  if (body.value("silent_connections", false)) {
    server_.blackholeOpenConnections();
  }
  if (body.contains("slow_factor")) {
    const auto duration = base::milliseconds(body.value("slow_ms", std::int64_t{ 3'600'000 }));
    faults_.slowDown(body.at("slow_factor"), now + duration);
  }
  if (body.contains("refuse_grants")) {
    refuseGrants_ = body.at("refuse_grants").get<bool>();
  }
  if (body.contains("lag_ms")) {
    load_.setLag(base::milliseconds(body.at("lag_ms").get<std::int64_t>()));
  }
  if (body.contains("freeze_ms")) {
    server_.freezeUntil(now + base::milliseconds(body.at("freeze_ms").get<std::int64_t>()));
  }
  answer(response, json::object());
}

Capacity::Slot BackendService::admit(const Work& work, std::string& reason)
{
  reason = draining_ ? "draining" : runner_.refusal(work);
  if (!reason.empty()) {
    return nullptr;
  }
  auto slot = capacity_.acquire(clock_.now(), reason);
  if (slot == nullptr) {
    return nullptr;
  }
  recordLoad();
  return { slot.get(), [this, slot](void*) mutable {
            slot.reset();
            recordLoad();
          } };
}

void BackendService::handleWork(const Request& request,
                                Response& response,
                                const httplib::ContentReader* reader)
{
  Work work;
  std::string reason;
  Capacity::Slot slot;
  try {
    work = readWorkHeaders(request, clock_.now());
    slot = admit(work, reason);
  } catch (const base::Error&) {
    work.requestId = request.get_header_value("Sycamore-Request-Id");
    reason = "bad-request";
  }
  if (slot != nullptr) {
    return execute(work, request, response, reader, std::move(slot));
  }
  // An unread body would be parsed as the next request of the connection.
  if (reader != nullptr && !(*reader)([](const char*, std::size_t) { return true; })) {
    return StubHttpServer::dropCurrentConnection();
  }
  refuse(work, response, "not-run", reason);
}

void BackendService::execute(const Work& work,
                             const Request& request,
                             Response& response,
                             const httplib::ContentReader* reader,
                             Capacity::Slot slot)
{
  BodyDigest digest;
  const auto add = [&](const char* data, std::size_t size) {
    digest.add(data, size);
    return true;
  };
  add(request.body.data(), request.body.size());
  // A truncated body is not executed; its caller has disconnected.
  if (reader != nullptr && !(*reader)(add)) {
    return StubHttpServer::dropCurrentConnection();
  }
  const WorkRunner::Result result = runner_.run(work);
  if (result.outcome != "ran") {
    return refuse(work, response, result.outcome, result.reason);
  }
  setOutcomeHeaders(work, response, "ran");
  if (work.echoBytes) {
    return setEcho(response, work, std::move(slot));
  }
  answer(response,
         { { "server", options_.server },
           { "key", work.key ? json(*work.key) : json() },
           { "request_id", work.requestId },
           { "term", work.term },
           { "digest", digest.hex() },
           { "length", digest.length() } });
}

void BackendService::setOutcomeHeaders(const Work& work,
                                       Response& response,
                                       const std::string& outcome)
{
  response.set_header("Sycamore-Outcome", outcome);
  response.set_header("Sycamore-Server", options_.server);
  response.set_header("Sycamore-Request-Id", work.requestId);
}

void BackendService::refuse(const Work& work,
                            Response& response,
                            const std::string& outcome,
                            const std::string& reason)
{
  if (outcome == "not-run") {
    const std::lock_guard lock(refusedMutex_);
    ++refused_[reason];
  }
  response.status = reason == "bad-request" ? 400 : 503;
  setOutcomeHeaders(work, response, outcome);
  response.set_header("Sycamore-Reason", reason);
  answer(response, { { "outcome", outcome }, { "reason", reason }, { "message", reason } });
}

} // namespace sycamore::backend_stub
