#pragma once

#include <string>

namespace sycamore::requests {

// The answer of a request that ran, kept for resends.
struct StoredAnswer
{
  int status = 0;
  std::string contentType;
  std::string body;
  // False when the body was too large to keep: a resend then learns only that the request ran.
  bool bodyKept = true;
};

} // namespace sycamore::requests
