#include <router/IncomingRequest.h>

#include <router/Headers.h>

#include <base/KeyHash.h>
#include <requests/Uuid7.h>

#include <algorithm>
#include <charconv>
#include <random>

#include <router/QuarantineRegistry.h>

namespace sycamore::router {

namespace {

constexpr std::string_view kPathPrefix = "/v1/";
constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kMaxAttempt = 1'000'000;

bool isName(std::string_view text)
{
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '-' || c == '_';
         });
}

std::optional<std::uint64_t> parseNumber(const std::string& text,
                                         std::uint64_t low,
                                         std::uint64_t high)
{
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc() || result.ptr != end || value < low ||
      value > high) {
    return std::nullopt;
  }
  return value;
}

base::RequestId makeRequestId()
{
  static thread_local std::mt19937_64 random(std::random_device{}());
  return requests::Uuid7::make(wallTime(), random).toRequestId();
}

} // namespace

requests::WorkIdentity IncomingRequest::identity() const
{
  if (isStreamed) {
    return requests::WorkIdentity(id);
  }
  return requests::WorkIdentity(id, service, method, key ? key->value() : std::string(), body);
}

std::uint64_t IncomingRequest::fingerprint() const
{
  const std::string content =
    isStreamed ? "streamed:" + std::to_string(bodyLength.value_or(0)) : body;
  const std::string keyText = key ? key->value() : std::string();
  return base::hashBytes(content, base::hashBytes(keyText, base::hashBytes(target)));
}

RequestParser::RequestParser(RequestLimits limits)
  : limits_(limits)
{
}

IncomingRequest RequestParser::parse(transport::ServerRequest& request, base::TimePoint now) const
{
  IncomingRequest parsed;
  parsed.httpMethod = request.method();
  if (parsed.httpMethod != "GET" && parsed.httpMethod != "POST" && parsed.httpMethod != "PUT" &&
      parsed.httpMethod != "DELETE") {
    throw BadRequest{ "method " + parsed.httpMethod +
                      " is not supported; use GET, POST, PUT or "
                      "DELETE" };
  }
  parsePath(request, parsed);
  parseHeaders(request, parsed, now);
  parsed.source = &request;
  parsed.isSenderDisconnected = request.senderProbe();
  parsed.bodyLength = request.bodyLength();
  parsed.isStreamed = !parsed.bodyLength || *parsed.bodyLength > limits_.heldBodyBytes;
  return parsed;
}

void RequestParser::parsePath(transport::ServerRequest& request, IncomingRequest& parsed) const
{
  const std::string& path = request.path();
  if (!path.starts_with(kPathPrefix)) {
    throw BadRequest{ "the path must be /v1/<service>/<method>" };
  }
  const std::string rest = path.substr(kPathPrefix.size());
  const auto slash = rest.find('/');
  const std::string service = rest.substr(0, slash);
  const std::string tail = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::string method = tail.substr(0, tail.find('/'));
  if (!isName(service) || !isName(method)) {
    throw BadRequest{ "the path must be /v1/<service>/<method> with names of letters, digits, '-' "
                      "and '_', up to 63 characters" };
  }
  parsed.service = base::ServiceId(service);
  parsed.method = base::MethodId(method);
  parsed.target = request.target();
}

void RequestParser::parseHeaders(transport::ServerRequest& request,
                                 IncomingRequest& parsed,
                                 base::TimePoint now) const
{
  if (const auto key = request.header(kKeyHeader)) {
    if (key->empty() || key->size() > kMaxKeyBytes) {
      throw BadRequest{ "Sycamore-Key must have 1 to 512 bytes" };
    }
    parsed.key = base::Key(*key);
  }
  if (const auto id = request.header(kRequestIdHeader)) {
    if (!requests::Uuid7::parse(*id)) {
      throw BadRequest{ "Sycamore-Request-Id must be a UUID of version 7" };
    }
    parsed.id = base::RequestId(*id);
    parsed.hasCallerId = true;
  } else {
    parsed.id = makeRequestId();
  }
  parsed.deadline = now + limits_.defaultDeadline;
  if (const auto deadline = request.header(kDeadlineHeader)) {
    const auto millis = parseNumber(*deadline, 1, kMaxDeadlineMs);
    if (!millis) {
      throw BadRequest{ "Sycamore-Deadline-Ms must be a whole number from 1 to 3600000" };
    }
    parsed.deadline = now + std::chrono::milliseconds(*millis);
  }
  if (const auto attempt = request.header(kAttemptHeader)) {
    const auto number = parseNumber(*attempt, 1, kMaxAttempt);
    if (!number) {
      throw BadRequest{ "Sycamore-Attempt must be a whole number from 1 to 1000000" };
    }
    parsed.attempt = static_cast<unsigned>(*number);
  }
  const transport::HeaderList headers = request.headers();
  const HopByHopNames hopByHop(headers);
  for (const auto& [name, value] : headers) {
    // cpp-httplib adds these headers with the addresses of the connection.
    const bool local = name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" ||
                       name == "LOCAL_PORT";
    if (!local && !hopByHop.contains(name) && !isReserved(name)) {
      parsed.headers.emplace_back(name, value);
    }
  }
}

} // namespace sycamore::router
