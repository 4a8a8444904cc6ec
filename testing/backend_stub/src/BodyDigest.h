#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

struct XXH3_state_s;

namespace sycamore::backend_stub {

// XXH3 digest (64 bit) of a body that arrives in chunks.
class BodyDigest
{
public:
  BodyDigest();

  void add(const char* data, std::size_t size);

  std::uint64_t length() const { return length_; }
  std::string hex() const;

private:
  std::unique_ptr<XXH3_state_s, void (*)(XXH3_state_s*)> state_;
  std::uint64_t length_ = 0;
};

} // namespace sycamore::backend_stub
