#pragma once

#include <base/HeaderFields.h>

#include <string>

namespace sycamore::entry {

// A caller's request that has arrived whole.
struct Request
{
  std::string method;
  std::string target;
  // Header fields and, behind them, those of the trailer.
  base::HeaderFields fields;
  std::string body;
  // Whether it had a body, perhaps an empty one.
  bool hasBody = false;
  // Whether the caller may send another request on its connection.
  bool isKeepAlive = true;
};

} // namespace sycamore::entry
