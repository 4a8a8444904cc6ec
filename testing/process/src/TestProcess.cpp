#include <base/Error.h>
#include <test_process/TestProcess.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <poll.h>

#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace sycamore::test_process {

namespace {

using base::TimePoint;

constexpr int kExecFailed = 127;

[[noreturn]] void throwErrno(const std::string& what)
{
  throw base::Error(what + ": " + std::strerror(errno));
}

TimePoint now()
{
  return base::SteadyClock().now();
}

bool awaitReadable(int fd, TimePoint deadline)
{
  while (true) {
    const auto left = std::chrono::ceil<base::milliseconds>(deadline - now()).count();
    pollfd entry{ fd, POLLIN, 0 };
    const int ready = poll(&entry, 1, static_cast<int>(std::max<long>(left, 0)));
    if (ready > 0) {
      return true;
    }
    if (ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

// Runs in the child between fork and exec, so it makes only async-signal-safe calls. If the exec
// fails, writes errno to the descriptor `status`; a successful exec closes the descriptor.
[[noreturn]] void execProgram(pid_t parent, int output, int log, int status, char* const* arguments)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kExecFailed);
  }
  ::signal(SIGPIPE, SIG_DFL);
  dup2(output, STDOUT_FILENO);
  if (log >= 0) {
    dup2(log, STDERR_FILENO);
  }
  // The program must not keep connections of the test open.
  close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  execv(arguments[0], arguments);
  const int error = errno;
  _exit(write(status, &error, sizeof(error)) < 0 ? kExecFailed + 1 : kExecFailed);
}

std::vector<char*> toArguments(const std::string& program, const std::vector<std::string>& rest)
{
  std::vector<char*> arguments{ const_cast<char*>(program.c_str()) };
  for (const std::string& argument : rest) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  return arguments;
}

// Owns a file descriptor and closes it on destruction.
class Descriptor
{
public:
  explicit Descriptor(int fd)
    : fd_(fd)
  {
  }
  ~Descriptor() { reset(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }
  void reset()
  {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

private:
  int fd_;
};

int openLog(const std::string& path)
{
  if (path.empty()) {
    return -1;
  }
  const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (fd < 0) {
    throwErrno("cannot open " + path);
  }
  return fd;
}

std::array<int, 2> openPipe()
{
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    throwErrno("cannot create a pipe");
  }
  return ends;
}

} // namespace

TestProcess::TestProcess(const std::string& program,
                         const std::vector<std::string>& arguments,
                         const std::string& logPath)
{
  const std::vector<char*> argv = toArguments(program, arguments);
  const Descriptor log(openLog(logPath));
  const auto [readOutput, writeOutput] = openPipe();
  Descriptor output(readOutput);
  Descriptor childOutput(writeOutput);
  const auto [readStatus, writeStatus] = openPipe();
  const Descriptor status(readStatus);
  Descriptor childStatus(writeStatus);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    execProgram(parent, childOutput.get(), log.get(), childStatus.get(), argv.data());
  }
  if (pid_ < 0) {
    throwErrno("cannot fork");
  }
  childOutput.reset();
  childStatus.reset();
  // Waits for the exec: until then the child would run the signal handlers of the test.
  if (read(status.get(), &errno, sizeof(errno)) > 0) {
    waitpid(pid_, nullptr, 0);
    throwErrno("cannot start " + program);
  }
  output_ = output.release();
  // The header of pidfd_open() in glibc 2.36 lacks C linkage.
  pidFd_ = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
}

TestProcess::~TestProcess()
{
  killAndClose();
}

TestProcess::TestProcess(TestProcess&& other) noexcept
  : pid_(std::exchange(other.pid_, -1))
  , pidFd_(std::exchange(other.pidFd_, -1))
  , output_(std::exchange(other.output_, -1))
  , unread_(std::move(other.unread_))
  , exit_(other.exit_)
{
}

TestProcess& TestProcess::operator=(TestProcess&& other) noexcept
{
  if (this != &other) {
    killAndClose();
    pid_ = std::exchange(other.pid_, -1);
    pidFd_ = std::exchange(other.pidFd_, -1);
    output_ = std::exchange(other.output_, -1);
    unread_ = std::move(other.unread_);
    exit_ = other.exit_;
  }
  return *this;
}

void TestProcess::killAndClose() noexcept
{
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  for (int* fd : { &pidFd_, &output_ }) {
    if (*fd >= 0) {
      close(*fd);
      *fd = -1;
    }
  }
}

std::string TestProcess::readLine(base::Duration timeout)
{
  const TimePoint deadline = now() + timeout;
  std::size_t end = 0;
  while ((end = unread_.find('\n')) == std::string::npos) {
    if (!awaitReadable(output_, deadline)) {
      throw base::Error("no line on standard output before the deadline");
    }
    std::array<char, 4096> buffer{};
    const ssize_t count = read(output_, buffer.data(), buffer.size());
    if (count <= 0) {
      throw base::Error("standard output ended");
    }
    unread_.append(buffer.data(), static_cast<std::size_t>(count));
  }
  std::string line = unread_.substr(0, end);
  unread_.erase(0, end + 1);
  return line;
}

std::string TestProcess::waitListening(base::Duration timeout)
{
  static const std::string kPrefix = "listening ";
  const TimePoint deadline = now() + timeout;
  while (true) {
    const std::string line = readLine(deadline - now());
    if (line.starts_with(kPrefix)) {
      return line.substr(kPrefix.size());
    }
  }
}

int TestProcess::waitPort(base::Duration timeout)
{
  const std::string address = waitListening(timeout);
  return std::stoi(address.substr(address.rfind(':') + 1));
}

void TestProcess::signal(int number)
{
  if (pid_ <= 0 || ::kill(pid_, number) != 0) {
    throw base::Error("cannot send signal " + std::to_string(number) + ": the process has ended");
  }
}

void TestProcess::kill()
{
  signal(SIGKILL);
  waitExit(std::chrono::seconds(10));
}

void TestProcess::terminate()
{
  signal(SIGTERM);
}

void TestProcess::pause()
{
  signal(SIGSTOP);
  siginfo_t info{};
  // An exit ends this wait too; WNOWAIT leaves the process unreaped, for waitExit().
  if (waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED | WEXITED | WNOWAIT) != 0 ||
      info.si_code != CLD_STOPPED) {
    throw base::Error("the process ended before SIGSTOP stopped it");
  }
}

void TestProcess::resume()
{
  signal(SIGCONT);
}

std::optional<TestProcess::Exit> TestProcess::waitExit(base::Duration timeout)
{
  if (pid_ > 0 && awaitReadable(pidFd_, now() + timeout)) {
    int status = 0;
    waitpid(pid_, &status, 0);
    exit_ = Exit{ WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status) };
    pid_ = -1;
  }
  return exit_;
}

} // namespace sycamore::test_process
