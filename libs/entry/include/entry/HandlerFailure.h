#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace sycamore::entry {

// An exception that has left a handler of an event loop.
struct HandlerFailure
{
  // Name of the HandlerScope; empty if there was none.
  std::string handler;
  // Name of the exception's class.
  std::string type;
  // Text of the exception; empty if it isn't derived from std::exception.
  std::string message;
};

// Describes the exception that is being handled. To be called in a catch clause or by a terminate
// handler.
HandlerFailure currentFailure();

// Returns the fields of a log line about the failure.
nlohmann::json toJson(const HandlerFailure& failure);

} // namespace sycamore::entry
