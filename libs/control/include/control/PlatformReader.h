#pragma once

#include <configuration/ConfigObject.h>
#include <control/ControlContext.h>

#include <functional>
#include <string>
#include <vector>

namespace sycamore::control {

// An object of the platform as a read or a watch gave it.
struct PlatformObject
{
  std::string name;
  base::Version version;
  // JSON.
  std::string value;
};

// What was read from the platform. Called on the control thread.
class PlatformListener
{
public:
  virtual ~PlatformListener() = default;

  virtual void onVmList(const std::vector<membership::ListedVm>& list) = 0;
  virtual void onConfig(const std::vector<PlatformObject>& objects) = 0;
  // whole: the list holds all objects of the kind.
  virtual void onMaps(const std::vector<PlatformObject>& objects, bool whole) = 0;
};

// Reads configuration, shard maps and the VM list from the platform. Every VM reads all objects
// once after its start and after an outage; only the relay of a failure domain watches for changes,
// since the platform counts each waiting watch as a call. Used on the control thread only.
class PlatformReader
{
public:
  PlatformReader(ControlContext& context, PlatformListener& listener);

  // Called every 20 ms.
  void tick(bool isRelay);

  // Whether the last call of any kind was answered.
  bool isReachable() const { return reachable_; }

private:
  struct Kind
  {
    std::string name;
    std::uint64_t revision = 0;
    bool listed = false;
    bool busy = false;
    base::TimePoint nextAt;
  };

  void readVmList();
  void list(Kind& kind);
  void watch(Kind& kind);
  void onObjects(Kind& kind, bool whole, const transport::BufferedResponse& response);
  void noteAnswer(bool answered);
  base::Duration listInterval() const;

  ControlContext& context_;
  PlatformListener& listener_;
  Kind config_;
  Kind maps_;
  bool vmListBusy_ = false;
  base::TimePoint nextVmList_;
  bool reachable_ = false;
  bool known_ = false;
};

} // namespace sycamore::control
