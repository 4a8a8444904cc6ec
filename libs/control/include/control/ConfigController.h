#pragma once

#include <configuration/ConfigPropagation.h>
#include <configuration/ConfigStore.h>
#include <control/ControlContext.h>
#include <control/PeerMessages.h>

#include <functional>
#include <memory>
#include <string>

namespace sycamore::control {

// Adopts configuration from the platform and from peers, and notifies peers of it. Used by the
// control thread only.
class ConfigController
{
public:
  // onAdopted: called after each change of the configuration in effect. notify: sends a heartbeat
  // to a peer immediately.
  ConfigController(ControlContext& context,
                   std::function<void()> onAdopted,
                   std::function<void(const base::VmId&)> notify);

  void tick();
  void onHeartbeat(const Heartbeat& heartbeat);

  // Adopts objects that were read from the platform.
  void adoptFromPlatform(const configuration::ConfigObjects& objects);
  // Adopts a change that this VM wrote and the platform confirmed.
  void adoptOwnChange(const configuration::ConfigObject& object);

  // Answers /peer/config: returns the objects that are newer here than in the peer's inventory.
  // Throws ControlError if the inventory is malformed.
  std::string answerFetch(const std::string& inventory) const;

  const configuration::ConfigStore& store() const { return store_; }
  std::shared_ptr<const configuration::ConfigSnapshot> snapshot() const
  {
    return store_.snapshot();
  }
  std::string digest() const { return store_.digest().toHex(); }
  // Returns the configuration digest of each peer's latest heartbeat.
  const std::map<base::VmId, std::string>& peerDigests() const { return peerDigests_; }

private:
  void adopt(const configuration::ConfigObjects& objects, configuration::ConfigSource source);
  void perform(const configuration::PropagationActions& actions);
  void fetchFrom(const base::VmId& peer);

  ControlContext& context_;
  const std::function<void()> onAdopted_;
  const std::function<void(const base::VmId&)> notify_;
  configuration::ConfigStore store_;
  configuration::ConfigPropagation propagation_;
  std::map<base::VmId, std::string> peerDigests_;
};

} // namespace sycamore::control
