#pragma once

#include <base/HeaderFields.h>

#include <string>

namespace sycamore::entry {

// An answer of a backend server or of the store.
struct ServerAnswer
{
  // 0 if there is no answer.
  unsigned status = 0;
  std::string reason;
  // Header fields and, behind them, those of the trailer.
  base::HeaderFields fields;
  std::string body;
  // Whether the connection can carry another request.
  bool isKeepAlive = true;
};

} // namespace sycamore::entry
