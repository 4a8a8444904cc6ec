#pragma once

#include <entry/EventLog.h>
#include <entry/StoreClient.h>

#include <base/Ids.h>
#include <dispatch/EntryVmRecord.h>
#include <dispatch/ListPages.h>

#include <cstdint>
#include <functional>
#include <string>

namespace sycamore::entry {

// Registers this entry VM in the store, and reads from there which others are registered. Control
// thread only.
class VmRegistry
{
public:
  // Notified of each registered VM.
  using VmListener = std::function<void(const base::VmId&, const dispatch::EntryVmRecord&)>;
  // Notified when a page of registered VMs has been read.
  using PageListener = std::function<void()>;
  // Returns whether a list must show the current state, and be repeated until it does. Otherwise an
  // outdated one is good enough.
  using MustBeCurrent = std::function<bool()>;

  VmRegistry(asio::io_context& context,
             StoreClient& store,
             EventLog& log,
             base::VmId self,
             dispatch::EntryVmRecord record,
             MustBeCurrent mustBeCurrent,
             VmListener vmListener,
             PageListener pageListener);

  // Registers this VM and then lists the others. The registration of an earlier VM of the same name
  // is replaced.
  void start() { registerSelf(0); }

  // Lists the registered VMs.
  void list();

private:
  void registerSelf(std::uint64_t revision);
  void onRegistered(const StoreAnswer& answer);
  // Reads the next page of registered VMs, and the pages that follow.
  void readPage();
  void onPage(const StoreAnswer& answer);
  void readRecord(const wire::StoreObject& object);
  void retryList();

  StoreClient& store_;
  EventLog& log_;
  base::VmId self_;
  dispatch::EntryVmRecord record_;
  MustBeCurrent mustBeCurrent_;
  VmListener vmListener_;
  PageListener pageListener_;
  dispatch::ListPages listPages_;
  // Number of lists begun so far.
  std::uint64_t listNumber_ = 0;
  asio::steady_timer registerTimer_;
  asio::steady_timer listTimer_;
};

} // namespace sycamore::entry
