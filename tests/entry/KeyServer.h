#pragma once

#include "ServerJournal.h"

#include <Http.h>
#include <KeyServerTexts.h>

#include <map>
#include <mutex>

namespace sycamore::soak {

// Headers by which the proxy tells a stand-in of a server when a call was sent and by which entry
// VM, and after how many milliseconds a grant is to be carried out, without an answer.
constexpr const char* kSentAtHeader = "Trace-Sent-Ns";
constexpr const char* kOriginHeader = "Trace-Origin";
constexpr const char* kLateHeader = "Trace-Late-Ms";

constexpr int kKeys = 65536;

// Stand-in for one life of a server that owns keys, with a clock of its own. It keeps a journal of
// its grants, releases and work.
class KeyServer
{
public:
  // A server with drift 1.02 takes 2% longer to count a time.
  KeyServer(std::string id, const std::string& journalPath, double drift);

  // Serves until the process is ended.
  [[noreturn]] void run();

private:
  struct Hold
  {
    std::uint64_t fence = 0;
    Nanoseconds until = 0;
  };
  struct Work
  {
    int key = 0;
    // End of the lease under which the work runs. A release doesn't shorten it.
    Nanoseconds leaseUntil = 0;
  };
  struct LateGrant
  {
    JournalEntry entry;
    Nanoseconds dueAt = 0;
  };

  void serve(review::Channel& channel);
  std::string handle(const review::Message& request, review::Channel& channel);
  std::string grant(const wire::testing::KeyCall& call,
                    const review::Message& request,
                    const review::Channel& channel);
  std::string release(const wire::testing::KeyCall& call, const review::Channel& channel);
  std::string work(const wire::testing::KeyCall& call,
                   const std::string& path,
                   const review::Channel& channel);
  void carryOutLateGrants();
  bool isWorkingOn(int from, int to);

  std::string id_;
  double drift_;
  JournalWriter journal_;
  std::mutex mutex_;
  std::vector<Hold> holds_;
  std::vector<std::uint64_t> seen_;
  std::map<std::uint64_t, Work> works_;
  std::uint64_t lastWork_ = 0;
  std::vector<LateGrant> lateGrants_;
};

} // namespace sycamore::soak
