#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace sycamore::entry {

// Bytes exchanged with other VMs and with backend servers, by kind of message. Traffic between
// failure domains is expensive, so that it is counted apart. Payload only, without TCP or IP
// headers. Used by one thread only.
class ByteCounts
{
public:
  struct Bytes
  {
    std::uint64_t sameDomain = 0;
    std::uint64_t otherDomain = 0;
  };

  // Adds bytes of a message of this kind.
  void add(const std::string& kind, bool isSameDomain, std::uint64_t bytes);

  const std::map<std::string, Bytes>& byKind() const { return byKind_; }

  // Returns the counts as a JSON object of pairs: bytes within the domain, bytes to others.
  nlohmann::json toJson() const;

private:
  std::map<std::string, Bytes> byKind_;
};

// Appends counts of several threads in Prometheus' text format. Their kinds must differ.
void writeByteCounts(std::string& out, const ByteCounts& first, const ByteCounts& second);

} // namespace sycamore::entry
