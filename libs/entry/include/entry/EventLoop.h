#pragma once

#include <entry/Asio.h>
#include <entry/HandlerFailure.h>

#include <functional>

namespace sycamore::entry {

// Runs the handlers of the context until it is stopped or has none left. An exception ends only the
// handler that it leaves; `failed` is told of it. Whoever owns a connection or a timer sees to it
// that it doesn't wait for the handler that has failed.
void runEventLoop(asio::io_context& context,
                  const std::function<void(const HandlerFailure&)>& failed);

} // namespace sycamore::entry
