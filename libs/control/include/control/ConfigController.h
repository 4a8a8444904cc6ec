#pragma once

#include <configuration/ConfigPropagation.h>
#include <configuration/ConfigStore.h>
#include <control/ControlContext.h>
#include <control/PeerMessages.h>

#include <functional>
#include <memory>
#include <string>

namespace sycamore::control {

// Adopts configuration from the platform and from peers, and notifies peers of it. Used on the
// control thread only.
class ConfigController
{
public:
  // adopted: called after each change of the configuration in effect. notify: sends a peer a
  // heartbeat at once.
  ConfigController(ControlContext& context,
                   std::function<void()> adopted,
                   std::function<void(const base::VmId&)> notify);

  void tick();
  void onHeartbeat(const Heartbeat& heartbeat);

  // Objects as the platform gave them.
  void adoptFromPlatform(const configuration::ConfigObjects& objects);
  // This VM's own confirmed change.
  void adoptOwnChange(const configuration::ConfigObject& object);

  // Answers /peer/config: what is newer here than in the inventory of the text. Throws
  // ControlError.
  std::string answerFetch(const std::string& inventory) const;

  const configuration::ConfigStore& store() const { return store_; }
  std::shared_ptr<const configuration::ConfigSnapshot> snapshot() const
  {
    return store_.snapshot();
  }
  std::string digest() const { return store_.digest().toHex(); }
  // Digests of the peers by their last heartbeat.
  const std::map<base::VmId, std::string>& peerDigests() const { return peerDigests_; }

private:
  void adopt(const configuration::ConfigObjects& objects, configuration::ConfigSource source);
  void perform(const configuration::PropagationActions& actions);
  void fetchFrom(const base::VmId& peer);

  ControlContext& context_;
  const std::function<void()> adopted_;
  const std::function<void(const base::VmId&)> notify_;
  configuration::ConfigStore store_;
  configuration::ConfigPropagation propagation_;
  std::map<base::VmId, std::string> peerDigests_;
};

} // namespace sycamore::control
