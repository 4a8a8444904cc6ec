#pragma once

#include "ServerJournal.h"

#include <Http.h>
#include <KeyServerTexts.h>

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>

namespace sycamore::soak {

// What a fault does to a call.
enum class CallFault
{
  // The call or its answer arrives late, also if its sender has given up.
  HoldCall,
  HoldAnswer,
  // Nothing arrives in one direction, and the connection stays open.
  DropCall,
  DropAnswer,
  // The connection is reset before the call or in place of its answer.
  ResetCall,
  ResetAnswer,
  // A copy of the answer arrives when the next call on the connection has been sent.
  CopyAnswer,
  // An answer of another server arrives when the next call on the connection has been sent.
  StrayAnswer,
  // An error that no server sends arrives at once, and the call doesn't.
  SpoilAnswer,
  // A grant gets no answer and is carried out late.
  ApplyLate,
  // The store refuses the call.
  Busy
};

enum class CallKind
{
  Grant,
  Release,
  Work,
  Read,
  Write
};

// A fault of the calls of one VM or all of them to one address or all servers, for some time.
struct FaultRule
{
  CallFault fault = CallFault::HoldCall;
  std::set<CallKind> kinds;
  // Address of the VM; empty for all.
  std::string vm{};
  // Number of the proxy's address; -1 for all.
  int address = -1;
  double probability = 1;
  double minSeconds = 0;
  double maxSeconds = 0;
  Nanoseconds until = 0;

  bool concerns(const std::string& callingVm, int called, CallKind kind) const
  {
    return (vm.empty() || vm == callingVm) && (address < 0 || address == called) &&
           kinds.contains(kind);
  }
};

// Proxy between the entry VMs and the servers and the store. It passes on whole messages, tells the
// servers when and by whom a call was sent, and carries out faults.
class FaultProxy
{
public:
  explicit FaultProxy(std::uint64_t seed);
  ~FaultProxy();

  // Returns the number of a new address. Calls to the address of the store carry no trace.
  int open(bool isStore);
  int portOf(int address) const;
  void setUpstream(int address, int port);

  void add(FaultRule rule);

  // Lets this share of the open connections to an address, or to all servers if it is -1, go silent
  // for good. New ones work. Returns their number.
  int silenceConnections(int address, double share);

  // Number of calls to which each fault was applied.
  std::map<CallFault, int> applied();

private:
  struct Address
  {
    bool isStore = false;
    std::atomic<int> upstream{ 0 };
    std::unique_ptr<review::Listening> listening;
  };
  struct Draw
  {
    CallFault fault;
    double seconds;
  };
  struct Connection;

  void serve(Address& address, int number, review::Channel& channel);
  // Returns false if the connection has ended.
  bool pass(Connection& connection, const review::Message& request);
  bool deliver(Connection& connection,
               CallKind kind,
               const std::string& answer,
               const std::optional<Draw>& draw);
  std::optional<std::string> call(Connection& connection, const std::string& text, bool mayLeave);
  void awaitLeave(const review::Channel& channel) const;
  // Returns whether a fault keeps all calls or answers of this kind back at this moment.
  bool isCut(const std::string& vm, int address, CallKind kind);
  std::optional<Draw> draw(const std::string& vm, int address, CallKind kind);

  std::mutex mutex_;
  std::mt19937_64 random_;
  // Apart from the draws for calls, so that those don't depend on it.
  std::mt19937_64 silenceRandom_;
  std::vector<FaultRule> rules_;
  std::map<CallFault, int> applied_;
  std::set<Connection*> connections_;
  std::atomic<bool> stopped_{ false };
  std::vector<std::unique_ptr<Address>> addresses_;
};

} // namespace sycamore::soak
