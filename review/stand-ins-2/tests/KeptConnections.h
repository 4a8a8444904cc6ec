#pragma once

#include "Deployment.h"

namespace review {

// Requesters with kept connections to the entry VMs, and what became of their requests.
class KeptConnections
{
public:
  KeptConnections(Record& record, std::vector<std::unique_ptr<Instance>>& instances)
    : record_(record)
    , instances_(instances)
  {
  }

  ~KeptConnections() { stop(); }

  // Keeps a connection to the VM busy with one request after another on this route.
  void add(const EntryVm& vm, const Route& route, int workMs, const std::string& headers = "")
  {
    threads_.emplace_back([this, &vm, route, workMs, headers] {
      Socket socket;
      bool isKept = false;
      while (!stops_) {
        if (!socket.isOpen()) {
          socket = connectTo(vm.settings().ip, vm.settings().front);
          isKept = false;
        }
        if (!socket.isOpen()) {
          pause(100);
          continue;
        }
        const bool isAnswered = exchange(socket, vm, route, workMs, headers, isKept);
        isKept = isAnswered;
        if (!isAnswered) {
          socket = Socket();
        }
      }
    });
  }

  void stop()
  {
    stops_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  unsigned served() const { return served_; }
  // Number of requests on kept connections that were passed on to an instance and whose connection
  // ended without an answer.
  unsigned lost() const { return lost_; }

private:
  // Time between an answer and the next request on the connection.
  static constexpr int kPauseMs = 100;

  bool exchange(Socket& socket,
                const EntryVm& vm,
                const Route& route,
                int workMs,
                const std::string& headers,
                bool isKept)
  {
    const std::string id = nextRequestId();
    const auto deadline = Clock::now() + std::chrono::milliseconds(5000);
    const bool isSafe = std::string(route.type) == "safe";
    const std::string request = std::string(isSafe ? "GET" : "POST") +
                                " /a/x HTTP/1.1\r\nHost: " + route.host + "\r\nRequest-Id: " + id +
                                "\r\nDeadline-Ms: 5000\r\nWork-Ms: " + std::to_string(workMs) +
                                "\r\n" + headers + (isSafe ? "\r\n" : "Content-Length: 0\r\n\r\n");
    Message answer;
    record_.write(id + " is sent to " + vm.settings().name);
    const bool isAnswered = socket.write(request) && socket.read(answer, deadline);
    if (isAnswered) {
      served_ += answer.status() == 200 ? 1 : 0;
      record_.write(id + " is answered " + std::to_string(answer.status()));
      pause(kPauseMs);
      return answer.header("connection") != "close";
    }
    const bool isPassedOn =
      std::any_of(instances_.begin(), instances_.end(), [&id](const auto& instance) {
        return instance->hasRun(id);
      });
    const bool isInTime = Clock::now() < deadline;
    record_.write(id + " at " + vm.settings().name +
                  (isInTime ? " ends with a closed connection" : " gets no answer in time") +
                  (isPassedOn ? ", it was passed on" : "") +
                  (isKept ? ", the connection was kept" : ""));
    lost_ += isPassedOn && isKept && isInTime ? 1 : 0;
    return false;
  }

  Record& record_;
  std::vector<std::unique_ptr<Instance>>& instances_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stops_{ false };
  std::atomic<unsigned> served_{ 0 };
  std::atomic<unsigned> lost_{ 0 };
};

} // namespace review
