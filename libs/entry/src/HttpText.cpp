#include <entry/HttpText.h>

#include <wire/ServerProtocol.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace sycamore::entry {

namespace {

constexpr std::array<std::string_view, 10> kConnectionHeaders{
  "Connection",        "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
  "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect", "HTTP2-Settings"
};

// Returns the names listed in the Connection header: those headers concern only the connection too.
std::vector<std::string_view> namedByConnection(const base::HeaderFields& fields)
{
  const std::string_view value = fields.valueOf("Connection");
  std::vector<std::string_view> names;
  for (const auto& token : http::token_list({ value.data(), value.size() })) {
    names.push_back(toStringView(token));
  }
  return names;
}

bool concernsConnection(std::string_view name,
                        const std::vector<std::string_view>& connectionTokens)
{
  const auto isName = [name](std::string_view other) { return base::equalFieldNames(name, other); };
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), isName) ||
         std::any_of(connectionTokens.begin(), connectionTokens.end(), isName);
}

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
  out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

CallerAnswer makeAnswer(unsigned status,
                        std::string_view requestId,
                        std::string_view message,
                        std::optional<base::Duration> retryAfter)
{
  CallerAnswer answer;
  answer.status = status;
  answer.reason =
    std::string(toStringView(http::obsolete_reason(static_cast<http::status>(status))));
  if (!requestId.empty()) {
    wire::appendRequestId(answer.headers, requestId);
  }
  if (retryAfter) {
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(*retryAfter).count();
    std::snprintf(text.data(), text.size(), "%.3f", seconds);
    appendHeader(answer.headers, "Retry-After", text.data());
  }
  answer.body = message;
  answer.body += '\n';
  return answer;
}

CallerAnswer toCallerAnswer(ServerAnswer&& message)
{
  CallerAnswer answer;
  answer.status = message.status;
  answer.reason = std::move(message.reason);
  const auto connectionTokens = namedByConnection(message.fields);
  for (const base::HeaderField& field : message.fields) {
    if (!concernsConnection(field.name, connectionTokens)) {
      appendHeader(answer.headers, field.name, field.value);
    }
  }
  answer.body = std::move(message.body);
  return answer;
}

std::string writeAnswer(const CallerAnswer& answer, bool close, bool headOnly)
{
  std::string out;
  out.reserve(answer.headers.size() + answer.body.size() + 128);
  out.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
  out.append(answer.reason).append("\r\n").append(answer.headers);
  const bool bodyAllowed = answer.status != 204 && answer.status != 304;
  if (bodyAllowed) {
    appendHeader(out, "Content-Length", std::to_string(answer.body.size()));
  }
  if (close) {
    appendHeader(out, "Connection", "close");
  }
  out.append("\r\n");
  if (bodyAllowed && !headOnly) {
    out.append(answer.body);
  }
  return out;
}

std::string writeServerRequest(const Request& request,
                               const base::ServerId& server,
                               const base::WorkspaceId* workspace,
                               base::Duration timeLeft)
{
  std::string out;
  out.reserve(request.body.size() + 512);
  out.append(request.method).append(" ").append(request.target);
  out.append(" HTTP/1.1\r\n");
  const auto connectionTokens = namedByConnection(request.fields);
  for (const base::HeaderField& field : request.fields) {
    if (!concernsConnection(field.name, connectionTokens) && !wire::isSetByRouter(field.name)) {
      appendHeader(out, field.name, field.value);
    }
  }
  wire::appendServerHeaders(
    out, server, std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft));
  if (workspace != nullptr) {
    wire::appendWorkspace(out, *workspace);
  }
  if (request.hasBody || !request.body.empty()) {
    appendHeader(out, "Content-Length", std::to_string(request.body.size()));
  }
  out.append("\r\n").append(request.body);
  return out;
}

} // namespace sycamore::entry
