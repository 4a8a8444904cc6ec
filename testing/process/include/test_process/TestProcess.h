#pragma once

#include <base/Time.h>

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sycamore::test_process {

// A program started by a test. Ends with its object by SIGKILL, and also when the thread that
// started it ends or the test dies, so start it from a thread that outlives its use. Signals go to
// this process only. Errors are base::Error. Not thread-safe.
class TestProcess
{
public:
  struct Exit
  {
    // Exit status, or the negative number of the signal that ended it.
    int code = 0;
  };

  // Starts the program file with the arguments; throws if it can't be executed. Standard error goes
  // to the file logPath if one is given; otherwise it is shared. No other open file is passed on.
  TestProcess(const std::string& program,
              const std::vector<std::string>& arguments,
              const std::string& logPath = "");
  ~TestProcess();

  TestProcess(TestProcess&& other) noexcept;
  TestProcess& operator=(TestProcess&& other) noexcept;
  TestProcess(const TestProcess&) = delete;
  TestProcess& operator=(const TestProcess&) = delete;

  // The next line of standard output. Throws if it doesn't come within the timeout.
  std::string readLine(base::Duration timeout);

  // Reads lines up to "listening ..." and returns what follows that word. Throws if it doesn't
  // come within the timeout.
  std::string waitListening(base::Duration timeout);

  // waitListening() of a program that prints one address; returns its port.
  int waitPort(base::Duration timeout);

  // SIGKILL; returns when the process is gone.
  void kill();

  // SIGTERM; returns at once.
  void terminate();

  // SIGSTOP; returns when the process has stopped. SIGCONT.
  void pause();
  void resume();

  // Waits for the end of the process; empty if it still runs after the timeout.
  std::optional<Exit> waitExit(base::Duration timeout);

  // -1 after the end was seen.
  pid_t pid() const { return pid_; }

private:
  void signal(int number);
  void release() noexcept;

  pid_t pid_ = -1;
  int pidFd_ = -1;
  int output_ = -1;
  std::string unread_;
  std::optional<Exit> exit_;
};

} // namespace sycamore::test_process
