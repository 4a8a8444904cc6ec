#include <base/Error.h>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <test_process/TestProcess.h>
#include <test_process/WaitUntil.h>
#include <unistd.h>

using namespace sycamore;
using namespace std::chrono_literals;
using test_process::TestProcess;
using test_process::waitUntil;

namespace {

TestProcess startShell(const std::string& script)
{
  return { "/bin/sh", { "-c", script } };
}

bool isGone(pid_t pid)
{
  return ::kill(pid, 0) != 0;
}

} // namespace

// Guards against tests that hang on a program which fails to start.
TEST_CASE("waiting for a program that never listens ends at the timeout")
{
  auto idle = startShell("exec sleep 30");
  CHECK_THROWS_AS(idle.waitListening(50ms), base::Error);
  CHECK_THROWS_AS(TestProcess("/nonexistent/program", {}), base::Error);
}

// Guards against programs that keep running after a failed test.
TEST_CASE("the destructor ends the program")
{
  pid_t pid = -1;
  {
    auto program = startShell("echo noise; echo listening 127.0.0.1:4711; exec sleep 30");
    CHECK(program.waitPort(5s) == 4711);
    pid = program.pid();
    CHECK_FALSE(isGone(pid));
  }
  CHECK(isGone(pid));
}

// Guards against programs that keep running after a test crashes.
TEST_CASE("a program ends when the test process is killed")
{
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  const pid_t tester = fork();
  if (tester == 0) {
    TestProcess program("/bin/sleep", { "30" });
    const pid_t pid = program.pid();
    if (write(ends[1], &pid, sizeof(pid)) != sizeof(pid)) {
      _exit(1);
    }
    ::kill(getpid(), SIGKILL);
  }
  pid_t pid = -1;
  REQUIRE(read(ends[0], &pid, sizeof(pid)) == sizeof(pid));
  waitpid(tester, nullptr, 0);
  CHECK(waitUntil([&] { return isGone(pid); }, 5s));
  close(ends[0]);
  close(ends[1]);
}

// Guards against a pause() that returns before the process has stopped.
TEST_CASE("a paused program makes no progress until it is resumed")
{
  auto program = startShell("while :; do echo tick; sleep 0.01; done");
  program.pause();
  const auto readAll = [&] {
    for (int i = 0; i < 1000; ++i) {
      program.readLine(100ms);
    }
  };
  CHECK_THROWS_AS(readAll(), base::Error);
  program.resume();
  CHECK(program.readLine(5s) == "tick");
  program.terminate();
  CHECK(program.waitExit(5s)->code == -SIGTERM);
}

// Guards against an exit status that is mistaken for a crash or the reverse.
TEST_CASE("exit status and signal are distinguished")
{
  auto exits = startShell("exit 2");
  CHECK(exits.waitExit(5s)->code == 2);
  auto killed = startShell("exec sleep 30");
  CHECK_FALSE(killed.waitExit(1ms).has_value());
  killed.kill();
  CHECK(killed.waitExit(1ms)->code == -SIGKILL);
  CHECK_THROWS_AS(killed.terminate(), base::Error);
}
