#pragma once

#include <base/Ids.h>

#include <string>
#include <string_view>
#include <vector>

namespace sycamore::requests {

// Subjects under which the quarantine tracks a request: "id:<request id>", and "work:<hex digest>"
// of service, method, key and body, which identifies the same work under a new id.
class WorkIdentity
{
public:
  // Creates an identity without a digest, for requests whose body has not been read completely.
  explicit WorkIdentity(const base::RequestId& id);

  WorkIdentity(const base::RequestId& id,
               const base::ServiceId& service,
               const base::MethodId& method,
               std::string_view key,
               std::string_view body);

  // One or two subjects.
  const std::vector<std::string>& subjects() const { return subjects_; }

private:
  std::vector<std::string> subjects_;
};

} // namespace sycamore::requests
