#include "WorkHeaders.h"

#include <base/Error.h>

#include <charconv>

namespace sycamore::backend_stub {

namespace {

std::optional<std::uint64_t> number(const httplib::Request& request, const char* header)
{
  if (!request.has_header(header)) {
    return std::nullopt;
  }
  const std::string text = request.get_header_value(header);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw base::Error(std::string(header) + " must be a number: " + text);
  }
  return value;
}

} // namespace

Work readWorkHeaders(const httplib::Request& request, base::TimePoint now)
{
  // cpp-httplib does not read the body of a GET request; executing it would ignore the body.
  if (request.method == "GET" && number(request, "Content-Length").value_or(0) > 0) {
    throw base::Error("a GET request must have no body");
  }
  Work work;
  work.requestId = request.get_header_value("Sycamore-Request-Id");
  work.service = request.get_header_value("Sycamore-Service");
  work.method = request.get_header_value("Sycamore-Method");
  if (request.has_header("Sycamore-Key")) {
    work.key = request.get_header_value("Sycamore-Key");
  }
  if (const auto shard = number(request, "Sycamore-Shard")) {
    work.shard = static_cast<std::uint32_t>(*shard);
  }
  work.term = number(request, "Sycamore-Term").value_or(0);
  if (const auto remaining = number(request, "Sycamore-Deadline-Ms")) {
    work.deadline = now + base::milliseconds(*remaining);
  }
  work.echoBytes = number(request, "Sycamore-Echo");
  if (const auto workMs = number(request, "Sycamore-Work-Ms")) {
    work.serviceTime = base::milliseconds(*workMs);
  }
  return work;
}

} // namespace sycamore::backend_stub
