#pragma once

namespace sycamore::entry {

// Names the handler of an event loop that the calling thread runs, for the line that is logged when
// an exception leaves it. Scopes may be nested; the innermost one counts.
class HandlerScope
{
public:
  // `name` must be valid until the process ends.
  explicit HandlerScope(const char* name);
  ~HandlerScope();
  HandlerScope(const HandlerScope&) = delete;
  HandlerScope& operator=(const HandlerScope&) = delete;

  // Returns the name of the handler that the calling thread runs or, until reset(), of the one that
  // an exception has left. Empty if there is none.
  static const char* current();
  // Forgets the handler that an exception has left. To be called outside of all handlers.
  static void reset();

private:
  const char* name_;
  const char* outer_;
  // Number of exceptions that were being thrown when the scope began.
  int exceptionsBefore_;
};

} // namespace sycamore::entry
