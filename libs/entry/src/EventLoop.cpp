#include <entry/EventLoop.h>

#include <entry/HandlerScope.h>

namespace sycamore::entry {

namespace {

// Returns whether the context has ended, and not a handler.
bool tryRun(asio::io_context& context, const std::function<void(const HandlerFailure&)>& failed)
{
  try {
    context.run();
    return true;
  } catch (...) {
    failed(currentFailure());
    HandlerScope::reset();
    return false;
  }
}

} // namespace

void runEventLoop(asio::io_context& context,
                  const std::function<void(const HandlerFailure&)>& failed)
{
  while (!tryRun(context, failed)) {
  }
}

} // namespace sycamore::entry
