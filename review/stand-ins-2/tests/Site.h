#pragma once

#include "KeptConnections.h"

#include <filesystem>
#include <iostream>

namespace review {

// Three entry VMs, three instances of a service divided by key and six of another, in one zone.
class Site
{
public:
  Site(const std::string& folder, Record& record, std::uint64_t storeRevision)
    : record_(record)
    , store_(loopback(2), storeRevision)
  {
    store_.put("config", "main", configOf(7, routes_, kSharded));
    for (unsigned i = 0; i < 3; ++i) {
      addInstance("i-lineal" + std::to_string(i), kSharded, 20 + i);
    }
    for (unsigned i = 0; i < 6; ++i) {
      addInstance("i-reponedor" + std::to_string(i), "reponedor", 30 + i);
    }
    EntrySettings settings;
    settings.zone = "norte-san";
    settings.store = store_.port();
    settings.storeIp = loopback(2);
    settings.internal = freePort(loopback(10));
    for (unsigned i = 0; i < 3; ++i) {
      settings.name = "front-norte-san-" + std::to_string(i + 1);
      settings.ip = loopback(10 + i);
      settings.front = freePort(settings.ip);
      settings.ready = freePort(settings.ip);
      settings.control = freePort(settings.ip);
      vms_.push_back(std::make_unique<EntryVm>(settings, folder));
      vms_.back()->start();
    }
  }

  Store& store() { return store_; }
  std::vector<std::unique_ptr<Instance>>& instances() { return instances_; }
  std::vector<std::unique_ptr<EntryVm>>& vms() { return vms_; }
  const std::vector<Route>& routes() const { return routes_; }
  const Route& readRoute() const { return routes_[0]; }
  const Route& orderRoute() const { return routes_[1]; }

  // Waits until all VMs are ready and all keys are held. Returns false if that doesn't come.
  bool awaitReady()
  {
    const auto isUp = [this] {
      std::size_t keys = 0;
      for (const auto& instance : instances_) {
        keys += instance->heldKeys();
      }
      return keys >= 65536 &&
             std::all_of(vms_.begin(), vms_.end(), [](const auto& vm) { return vm->isReady(); });
    };
    for (int i = 0; i < 150; ++i) {
      if (isUp()) {
        record_.write("all VMs are ready, all keys are held");
        return true;
      }
      pause(100);
    }
    record_.write("the deployment did not come up");
    return false;
  }

  // Restarts processes that have ended by themselves, as the platform does, and counts them.
  void watch(int milliseconds)
  {
    for (int i = 0; i < milliseconds / 100; ++i) {
      pause(100);
      for (const auto& vm : vms_) {
        const std::string how = vm->howEnded();
        if (how.empty()) {
          continue;
        }
        ++ends_;
        record_.write(vm->settings().name + " has ended by itself: " + how + "; it wrote:\n" +
                      vm->lastErrors());
        pause(300);
        vm->start();
      }
    }
  }

  unsigned ends() const { return ends_; }

private:
  static constexpr const char* kSharded = "lineal";

  void addInstance(const std::string& id, const std::string& service, unsigned address)
  {
    instances_.push_back(std::make_unique<Instance>(
      store_,
      record_,
      InstanceSettings{ id, service, "norte-san", loopback(address), 8, service == kSharded }));
  }

  Record& record_;
  std::vector<Route> routes_{ { "r-read", "jepu9.example", kSharded, "safe", 5 },
                              { "r-order", "hulo84.example", "reponedor", "unsafe", 5 } };
  Store store_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<EntryVm>> vms_;
  unsigned ends_ = 0;
};

// Runs a case with its record at the path of the first argument. Ends the process with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
inline void runCase(int argc,
                    char** argv,
                    int (*run)(Site&, bool hasTrouble, Record&),
                    std::uint64_t storeRevision = 100)
{
  const char* const trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  std::string folder = (std::filesystem::temp_directory_path() / "sycamore-review-XXXXXX").string();
  if (argc < 2 || ::mkdtemp(folder.data()) == nullptr) {
    std::cerr << "usage: case RECORD\n";
    ::_exit(2);
  }
  Record record(argv[1]);
  int result = 2;
  // Never destroyed, since the threads of the stand-ins' connections end with the process.
  Site* const site = new Site(folder, record, storeRevision);
  try {
    result = site->awaitReady() ? run(*site, hasTrouble, record) : 2;
  } catch (const std::exception& error) {
    record.write(std::string("the case could not run: ") + error.what());
  }
  for (const auto& vm : site->vms()) {
    vm->end();
  }
  record.write("result " + std::to_string(result));
  std::filesystem::remove_all(folder);
  ::_exit(result);
}

} // namespace review
