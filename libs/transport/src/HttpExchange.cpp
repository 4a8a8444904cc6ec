#include <transport/HttpExchange.h>

namespace sycamore::transport {

std::optional<std::string> ResponseHead::header(std::string_view name) const
{
  for (const auto& [headerName, value] : headers) {
    if (headerName == name) {
      return value;
    }
  }
  return std::nullopt;
}

bool BufferedResponse::ok() const
{
  return result == ExchangeResult::Complete && head.status >= 200 && head.status < 300;
}

} // namespace sycamore::transport
