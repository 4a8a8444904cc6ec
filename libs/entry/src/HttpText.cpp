#include <entry/HttpText.h>

#include <wire/ServerProtocol.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace sycamore::entry {

namespace {

constexpr std::array kConnectionHeaders{
  http::field::connection,       http::field::keep_alive,
  http::field::proxy_connection, http::field::te,
  http::field::trailer,          http::field::transfer_encoding,
  http::field::upgrade,          http::field::content_length,
  http::field::expect,           http::field::http2_settings
};

// Headers that the Connection header names concern the connection as well.
std::vector<std::string> namedByConnection(const wire::Fields& fields)
{
  std::vector<std::string> names;
  for (const auto& token : http::token_list(fields[http::field::connection])) {
    names.emplace_back(token);
  }
  return names;
}

bool concernsConnection(const wire::Fields::value_type& field,
                        const std::vector<std::string>& named)
{
  if (std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(), field.name()) !=
      kConnectionHeaders.end()) {
    return true;
  }
  return std::any_of(named.begin(), named.end(), [&](const std::string& name) {
    return boost::beast::iequals(name, field.name_string());
  });
}

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
  out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

CallerAnswer ownAnswer(unsigned status,
                       std::string_view requestId,
                       std::string_view message,
                       std::optional<base::Duration> returnAfter)
{
  CallerAnswer answer;
  answer.status = status;
  answer.reason = std::string(view(http::obsolete_reason(static_cast<http::status>(status))));
  if (!requestId.empty()) {
    wire::appendRequestId(answer.headers, requestId);
  }
  if (returnAfter) {
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(*returnAfter).count();
    std::snprintf(text.data(), text.size(), "%.3f", seconds);
    appendHeader(answer.headers, "Retry-After", text.data());
  }
  answer.body = message;
  answer.body += '\n';
  return answer;
}

CallerAnswer passOn(ServerAnswer&& message)
{
  CallerAnswer answer;
  answer.status = message.result_int();
  answer.reason = std::string(view(message.reason()));
  const auto named = namedByConnection(message);
  for (const auto& field : message) {
    if (!concernsConnection(field, named)) {
      appendHeader(answer.headers, view(field.name_string()), view(field.value()));
    }
  }
  answer.body = std::move(message.body());
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
                               base::Duration left)
{
  std::string out;
  out.reserve(request.body().size() + 512);
  out.append(view(request.method_string())).append(" ").append(view(request.target()));
  out.append(" HTTP/1.1\r\n");
  const auto named = namedByConnection(request);
  for (const auto& field : request) {
    if (!concernsConnection(field, named) && !wire::isSetByRouter(view(field.name_string()))) {
      appendHeader(out, view(field.name_string()), view(field.value()));
    }
  }
  wire::appendServerHeaders(
    out, server, std::chrono::duration_cast<std::chrono::milliseconds>(left));
  const bool hadBody = request.has_content_length() || request.chunked() || !request.body().empty();
  if (hadBody) {
    appendHeader(out, "Content-Length", std::to_string(request.body().size()));
  }
  out.append("\r\n").append(request.body());
  return out;
}

} // namespace sycamore::entry
