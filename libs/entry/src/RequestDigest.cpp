#include <entry/RequestDigest.h>

#include <base/KeyHash.h>

#include <string>

namespace sycamore::entry {

std::uint64_t digestOf(const Request& request)
{
  std::string requestText(toStringView(request.method_string()));
  requestText.append(" ").append(toStringView(request[http::field::host]));
  requestText.append(toStringView(request.target())).append("\n").append(request.body());
  return base::hashBytes(requestText);
}

} // namespace sycamore::entry
