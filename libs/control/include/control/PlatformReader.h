#pragma once

#include <configuration/ConfigObject.h>
#include <control/ControlContext.h>
#include <control/PlatformAnswers.h>

#include <functional>
#include <string>
#include <vector>

namespace sycamore::control {

// Receives what was read from the platform. Called on the control thread.
class PlatformListener
{
public:
  virtual ~PlatformListener() = default;

  virtual void onVmList(const std::vector<membership::ListedVm>& list) = 0;
  virtual void onConfig(const std::vector<PlatformObject>& objects) = 0;
  // isComplete: the list holds all shard maps, not only changed ones.
  virtual void onMaps(const std::vector<PlatformObject>& objects, bool isComplete) = 0;
};

// Reads configuration, shard maps and the VM list from the platform. Every VM lists all objects
// once after its start and after an outage. Only the relay of a failure domain watches for changes,
// since the platform counts each waiting watch as a call. Used by the control thread only.
class PlatformReader
{
public:
  PlatformReader(ControlContext& context, PlatformListener& listener);

  // Called every 20 ms.
  void tick(bool isRelay);

  // Returns whether the last call of any kind was answered.
  bool isReachable() const { return reachable_; }

private:
  struct ObjectKind
  {
    std::string name;
    std::uint64_t revision = 0;
    bool listed = false;
    bool busy = false;
    base::TimePoint nextAt;
  };

  void readVmList();
  void list(ObjectKind& kind);
  void watch(ObjectKind& kind);
  void onObjects(ObjectKind& kind, bool isComplete, const transport::BufferedResponse& response);
  // Logs that this number of items in an answer were left out.
  void logUnreadable(const std::string& kind, std::size_t items);
  void recordAnswer(bool answered);
  base::Duration listInterval() const;

  ControlContext& context_;
  PlatformListener& listener_;
  ObjectKind config_;
  ObjectKind maps_;
  bool vmListBusy_ = false;
  base::TimePoint nextVmList_;
  bool reachable_ = false;
  bool reachabilityKnown_ = false;
};

} // namespace sycamore::control
