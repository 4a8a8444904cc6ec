#include <entry/RequestDigest.h>

#include <base/KeyHash.h>

#include <string>

namespace sycamore::entry {

std::uint64_t digestOf(const Request& request)
{
  std::string requestText = request.method;
  requestText.append(" ").append(request.fields.valueOf("Host"));
  requestText.append(request.target).append("\n").append(request.body);
  return base::hashBytes(requestText);
}

} // namespace sycamore::entry
