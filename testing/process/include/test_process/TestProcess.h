#pragma once

#include <base/Time.h>

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sycamore::test_process {

// A program started by a test. The destructor kills it with SIGKILL. It is also killed when the
// thread that started it ends or the test process ends, so start it from a thread that outlives its
// use. Signals go to this process only. Errors are thrown as base::Error. Not thread-safe.
class TestProcess
{
public:
  struct Exit
  {
    // Exit status, or the negated number of the signal that ended the process.
    int code = 0;
  };

  // Starts the program file with the arguments; throws if it cannot be executed. Standard error is
  // appended to the file logPath if one is given; otherwise the program inherits that of the test.
  // It inherits no other open file.
  TestProcess(const std::string& program,
              const std::vector<std::string>& arguments,
              const std::string& logPath = "");
  ~TestProcess();

  TestProcess(TestProcess&& other) noexcept;
  TestProcess& operator=(TestProcess&& other) noexcept;
  TestProcess(const TestProcess&) = delete;
  TestProcess& operator=(const TestProcess&) = delete;

  // Returns the next line of standard output. Throws if it does not arrive within the timeout.
  std::string readLine(base::Duration timeout);

  // Reads lines up to "listening ..." and returns the text after that word. Throws if the line does
  // not arrive within the timeout.
  std::string waitListening(base::Duration timeout);

  // Calls waitListening() for a program that prints a single address, and returns its port.
  int waitPort(base::Duration timeout);

  // Sends SIGKILL and waits until the process has ended.
  void kill();

  // Sends SIGTERM and returns at once.
  void terminate();

  // Sends SIGSTOP and waits until the process has stopped. resume() sends SIGCONT.
  void pause();
  void resume();

  // Waits for the end of the process. Returns nullopt if it still runs after the timeout.
  std::optional<Exit> waitExit(base::Duration timeout);

  // Returns -1 once the end of the process was detected.
  pid_t pid() const { return pid_; }

private:
  void signal(int number);
  void killAndClose() noexcept;

  pid_t pid_ = -1;
  int pidFd_ = -1;
  int output_ = -1;
  std::string unread_;
  std::optional<Exit> exit_;
};

} // namespace sycamore::test_process
