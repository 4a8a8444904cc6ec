#pragma once

#include <configuration/ConfigSpread.h>
#include <configuration/ConfigStore.h>
#include <control/ControlContext.h>
#include <control/PeerMessages.h>

#include <functional>
#include <memory>
#include <string>

namespace sycamore::control {

// Adopts configuration from the platform and from peers, and tells peers of it. Used on the control
// thread only.
class ConfigController
{
public:
  // adopted: called after each change of the configuration in effect. tell: sends a peer a
  // heartbeat at once.
  ConfigController(ControlContext& context,
                   std::function<void()> adopted,
                   std::function<void(const base::VmId&)> tell);

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
  std::string digest() const { return store_.digest().text(); }
  // Digests of the peers by their last heartbeat.
  const std::map<base::VmId, std::string>& peerDigests() const { return peerDigests_; }

private:
  void adopt(const configuration::ConfigObjects& objects, configuration::ConfigSource source);
  void perform(const configuration::SpreadActions& actions);
  void fetchFrom(const base::VmId& peer);

  ControlContext& context_;
  const std::function<void()> adopted_;
  const std::function<void(const base::VmId&)> tell_;
  configuration::ConfigStore store_;
  configuration::ConfigSpread spread_;
  std::map<base::VmId, std::string> peerDigests_;
};

} // namespace sycamore::control
