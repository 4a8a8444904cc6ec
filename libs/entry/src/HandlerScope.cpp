#include <entry/HandlerScope.h>

#include <exception>

namespace sycamore::entry {

namespace {

thread_local const char* runningHandler = "";

} // namespace

HandlerScope::HandlerScope(const char* name)
  : name_(name)
  , outer_(runningHandler)
  , exceptionsBefore_(std::uncaught_exceptions())
{
  runningHandler = name_;
}

// An exception unwinds the scopes before it is described, so that the innermost one keeps its name.
HandlerScope::~HandlerScope()
{
  if (std::uncaught_exceptions() == exceptionsBefore_) {
    runningHandler = outer_;
  }
}

const char* HandlerScope::current()
{
  return runningHandler;
}

void HandlerScope::reset()
{
  runningHandler = "";
}

} // namespace sycamore::entry
