#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <platform/StoredObject.h>
#include <platform/VmRecord.h>
#include <platform/WriteResult.h>

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::platform {

// The platform's object API. All calls block up to their deadline and throw PlatformError.
//
// put() and remove() take effect only if the object has the expected version; version 0 stands for
// an absent object. The value of a put is a JSON object whose field "writer" identifies this write
// uniquely, for example by VM id and nonce. resolveInDoubt() takes the arguments of a put() that
// ended in doubt and determines its outcome. watch() returns the first changes after the revision,
// or no changes at the deadline.
template<typename T>
concept ObjectStore = requires(T& store,
                               const std::string& text,
                               base::Version expected,
                               const nlohmann::json& value,
                               Revision after,
                               base::TimePoint deadline)
{
  {
    store.get(text, text, deadline)
    } -> std::same_as<std::optional<StoredObject>>;
  {
    store.list(text, deadline)
    } -> std::same_as<ObjectList>;
  {
    store.put(text, text, expected, value, deadline)
    } -> std::same_as<WriteResult>;
  {
    store.resolveInDoubt(text, text, expected, value, deadline)
    } -> std::same_as<WriteResult>;
  {
    store.remove(text, text, expected, deadline)
    } -> std::same_as<WriteResult>;
  {
    store.watch(text, after, deadline)
    } -> std::same_as<ObjectChanges>;
  {
    store.listVms(deadline)
    } -> std::same_as<std::vector<VmRecord>>;
};

} // namespace sycamore::platform
