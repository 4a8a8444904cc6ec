#pragma once

#include <string>

namespace sycamore::requests {

// Answer of a request that ran, stored for resends.
struct StoredAnswer
{
  int status = 0;
  std::string contentType;
  std::string body;
  // False if the body was too large or dropped to free memory: a resend is then answered only with
  // the fact that the request ran.
  bool bodyKept = true;
};

} // namespace sycamore::requests
