#include <entry/CrashLine.h>
#include <entry/HandlerScope.h>

#include <doctest/doctest.h>

#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace sycamore::entry;

namespace {

struct ChildResult
{
  std::string output;
  int status = 0;
};

// Runs the function in a child process and returns what it has written to standard output.
ChildResult runInChild(const std::function<void()>& function)
{
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    std::signal(SIGABRT, SIG_DFL);
    dup2(ends[1], STDOUT_FILENO);
    close(ends[0]);
    close(ends[1]);
    function();
    _exit(0);
  }
  close(ends[1]);
  ChildResult result;
  char buffer[1024];
  for (ssize_t count = 0; (count = read(ends[0], buffer, sizeof(buffer))) > 0;) {
    result.output.append(buffer, static_cast<std::size_t>(count));
  }
  close(ends[0]);
  REQUIRE(waitpid(child, &result.status, 0) == child);
  return result;
}

} // namespace

// Guards against a process whose end by an exception leaves nothing in its log.
TEST_CASE("an exception that ends the process is logged with its handler, class and text")
{
  const ChildResult child = runInChild([] {
    const EventLog log("vm-1");
    const CrashLine crashLine(log);
    std::thread([] {
      const HandlerScope outer("outer");
      const HandlerScope inner("server_answer");
      throw std::length_error("field value too large");
    }).join();
  });
  CHECK(WIFSIGNALED(child.status));
  CHECK(WTERMSIG(child.status) == SIGABRT);
  const auto line = nlohmann::json::parse(child.output);
  CHECK(line["event"] == "crash");
  CHECK(line["vm"] == "vm-1");
  CHECK(line["handler"] == "server_answer");
  CHECK(line["type"] == "std::length_error");
  CHECK(line["error"] == "field value too large");
}

TEST_CASE("the innermost handler that an exception has left is known until it is reset")
{
  try {
    const HandlerScope outer("outer");
    const HandlerScope inner("inner");
    throw std::runtime_error("x");
  } catch (const std::runtime_error&) {
    CHECK(std::string(HandlerScope::current()) == "inner");
  }
  HandlerScope::reset();
  CHECK(std::string(HandlerScope::current()).empty());
  {
    const HandlerScope outer("outer");
    const HandlerScope inner("inner");
  }
  CHECK(std::string(HandlerScope::current()).empty());
}
