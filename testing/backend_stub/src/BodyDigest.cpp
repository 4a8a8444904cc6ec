#include "BodyDigest.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace sycamore::backend_stub {

BodyDigest::BodyDigest()
  : state_(XXH3_createState(), [](XXH3_state_s* state) { XXH3_freeState(state); })
{
  XXH3_64bits_reset(state_.get());
}

void BodyDigest::add(const char* data, std::size_t size)
{
  XXH3_64bits_update(state_.get(), data, size);
  length_ += size;
}

std::string BodyDigest::hex() const
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(XXH3_64bits_digest(state_.get())));
  return text.data();
}

} // namespace sycamore::backend_stub
