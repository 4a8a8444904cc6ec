#include <test_cluster/Caller.h>

#include <backend_stub/EchoPattern.h>
#include <base/KeyHash.h>
#include <requests/Uuid7.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

namespace sycamore::test_cluster {

using backend_stub::EchoPattern;
using base::SteadyClock;
using nlohmann::json;
using transport::BodyWriter;
using transport::ClientRequest;
using transport::ResponseHead;

namespace {

// How long a caller still waits after its deadline, for an answer that is already in transit.
constexpr base::milliseconds kAnswerMargin{ 500 };
constexpr std::size_t kChunkBytes = 65536;
constexpr std::size_t kMaxJsonBytes = 65536;

std::int64_t nowNs()
{
  return SteadyClock().now().time_since_epoch().count();
}

bool writePattern(const std::string& requestId, std::size_t size, const BodyWriter& write)
{
  const EchoPattern pattern(requestId);
  std::array<char, kChunkBytes> chunk;
  for (std::size_t offset = 0; offset < size; offset += chunk.size()) {
    const std::size_t part = std::min(chunk.size(), size - offset);
    pattern.fill(offset, chunk.data(), part);
    if (!write(std::string_view(chunk.data(), part))) {
      return false;
    }
  }
  return true;
}

ClientRequest makeRequest(const Call& call)
{
  ClientRequest request;
  request.path = "/v1/" + call.service + "/" + call.method;
  auto& headers = request.headers;
  headers.emplace_back("Content-Type", "application/octet-stream");
  headers.emplace_back("Sycamore-Attempt", std::to_string(call.attempt));
  headers.emplace_back(
    "Sycamore-Deadline-Ms",
    std::to_string(std::chrono::duration_cast<base::milliseconds>(call.deadline).count()));
  if (!call.requestId.empty()) {
    headers.emplace_back("Sycamore-Request-Id", call.requestId);
  }
  if (call.key) {
    headers.emplace_back("Sycamore-Key", *call.key);
  }
  if (call.echoBytes) {
    headers.emplace_back("Sycamore-Echo", std::to_string(*call.echoBytes));
  }
  if (call.work) {
    headers.emplace_back("Sycamore-Work-Ms", std::to_string(call.work->count()));
  }
  if (call.patternBytes) {
    request.bodySource = [id = call.requestId, size = *call.patternBytes](const BodyWriter& write) {
      return writePattern(id, size, write);
    };
    if (!call.chunked) {
      request.bodyLength = *call.patternBytes;
    }
  } else if (call.chunked) {
    request.bodySource = [body = call.body](const BodyWriter& write) { return write(body); };
  } else {
    request.body = call.body;
  }
  return request;
}

// Checks the answer to a call while it arrives.
class AnswerCheck
{
public:
  explicit AnswerCheck(const Call& call)
    : call_(call)
    , pattern_(call.requestId)
  {
  }

  void onHead(const ResponseHead& head)
  {
    ran_ = head.header("sycamore-outcome").value_or("") == "ran";
    replayedWithoutBody_ = head.header("sycamore-replayed").value_or("") == "without-body";
    id_ = head.header("sycamore-request-id").value_or("");
  }

  void onBody(std::string_view part)
  {
    if (call_.echoBytes && ran_) {
      patternDiffers_ = patternDiffers_ || !pattern_.matches(length_, part);
    } else if (text_.size() < kMaxJsonBytes) {
      text_.append(part);
    }
    length_ += part.size();
  }

  std::string mismatch() const
  {
    if (!call_.requestId.empty() && id_ != call_.requestId) {
      return "the request id is \"" + id_ + "\"";
    }
    if (!ran_ || replayedWithoutBody_) {
      return "";
    }
    if (call_.echoBytes) {
      return patternDiffers_ || length_ != *call_.echoBytes
               ? "the echoed body differs from the requested pattern"
               : "";
    }
    return jsonMismatch();
  }

private:
  std::string jsonMismatch() const
  {
    const json answer = json::parse(text_, nullptr, false);
    if (!answer.is_object()) {
      return "the body is not a complete JSON object";
    }
    const std::string id = answer.value("request_id", "");
    if (!call_.requestId.empty() && id != call_.requestId) {
      return "the body belongs to request " + id;
    }
    if (answer.value("key", json()) != (call_.key ? json(*call_.key) : json())) {
      return "the body belongs to another key";
    }
    if (!call_.patternBytes && answer.value("digest", "") != digestOf(call_.body)) {
      return "the server executed another body";
    }
    if (answer.value("length", std::size_t(0)) != call_.patternBytes.value_or(call_.body.size())) {
      return "the server executed a body of another length";
    }
    return "";
  }

  static std::string digestOf(const std::string& body)
  {
    std::array<char, 17> text{};
    std::snprintf(
      text.data(), text.size(), "%016llx", static_cast<unsigned long long>(base::hashBytes(body)));
    return text.data();
  }

  const Call& call_;
  const EchoPattern pattern_;
  bool ran_ = false;
  bool replayedWithoutBody_ = false;
  bool patternDiffers_ = false;
  std::string id_;
  std::string text_;
  std::size_t length_ = 0;
};

} // namespace

Caller::Caller()
  : clients_({}, faults_)
{
  // An entry VM may close the connection while a body is being sent.
  std::signal(SIGPIPE, SIG_IGN);
}

std::string Caller::newRequestId()
{
  static thread_local std::mt19937_64 random(std::random_device{}());
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  return requests::Uuid7::make(requests::WallTime(time), random).toRequestId().value();
}

CallRecord Caller::send(const std::string& address, const Call& call)
{
  CallRecord record;
  record.requestId = call.requestId;
  record.service = call.service;
  record.method = call.method;
  record.key = call.key;
  record.attempt = call.attempt;
  record.address = address;
  AnswerCheck check(call);
  transport::ResponseReceiver receiver;
  receiver.onHead = [&](const ResponseHead& head) {
    record.status = head.status;
    record.outcome = head.header("sycamore-outcome").value_or("");
    record.reason = head.header("sycamore-reason").value_or("");
    record.server = head.header("sycamore-server").value_or("");
    check.onHead(head);
    return true;
  };
  receiver.onBody = [&](std::string_view part) {
    check.onBody(part);
    return true;
  };
  record.sentNs = nowNs();
  record.result = clients_.exchange(
    address, makeRequest(call), receiver, SteadyClock().now() + call.deadline + kAnswerMargin);
  record.receivedNs = nowNs();
  if (record.isAnswered()) {
    record.mismatch = check.mismatch();
  }
  return record;
}

} // namespace sycamore::test_cluster
