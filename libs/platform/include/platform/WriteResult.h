#pragma once

#include <base/Ids.h>
#include <platform/StoredObject.h>

#include <variant>

namespace sycamore::platform {

// The write took effect and created this version.
struct Confirmed
{
  base::Version version;
};

// The object has another version than expected.
struct Conflict
{
  StoredObject current;
  // The answer to the write was lost, and another write followed: this write may have been in
  // effect before `current` replaced it. It isn't in effect now and won't take effect later.
  bool maybeOverwritten = false;
};

// The write may or may not have taken effect, and may still do so. ObjectClient::resolveInDoubt()
// determines the outcome once the platform answers again.
struct InDoubt
{};

using WriteResult = std::variant<Confirmed, Conflict, InDoubt>;

} // namespace sycamore::platform
