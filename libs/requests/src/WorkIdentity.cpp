#include <base/KeyHash.h>
#include <requests/WorkIdentity.h>

#include <array>
#include <cstdint>
#include <cstdio>

namespace sycamore::requests {

namespace {

// Joins two independent 64-bit hashes, since a collision would refuse unrelated work.
std::string digestOf(std::string_view bytes)
{
  constexpr std::uint64_t kSecondSeed = 0x5bd1e9955bd1e995ULL;
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(base::hashBytes(bytes)),
                static_cast<unsigned long long>(base::hashBytes(bytes, kSecondSeed)));
  return text.data();
}

// Appends a part preceded by its length, so that different lists of parts never give the same
// bytes.
void appendPart(std::string& bytes, std::string_view part)
{
  bytes += std::to_string(part.size());
  bytes += ':';
  bytes += part;
}

} // namespace

WorkIdentity::WorkIdentity(const base::RequestId& id)
  : subjects_{ "id:" + id.value() }
{
}

WorkIdentity::WorkIdentity(const base::RequestId& id,
                           const base::ServiceId& service,
                           const base::MethodId& method,
                           std::string_view key,
                           std::string_view body)
  : WorkIdentity(id)
{
  std::string bytes;
  for (const std::string_view part :
       { std::string_view(service.value()), std::string_view(method.value()), key, body }) {
    appendPart(bytes, part);
  }
  subjects_.push_back("work:" + digestOf(bytes));
}

} // namespace sycamore::requests
