#pragma once

#include <entry/CallerServer.h>
#include <entry/EntryControl.h>
#include <entry/ReadinessServer.h>

#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace sycamore::entry {

// An entry VM's process: a thread for traffic and a thread for control state, which exchange
// immutable values through their queues.
class EntryProcess
{
public:
  // Reads the settings anew; throws base::Error if they are faulty.
  using SettingsSource = std::function<dispatch::EntrySettings()>;

  EntryProcess(const dispatch::EntrySettings& settings, SettingsSource source);

  // Runs until the process is told to stop. The result is its exit status.
  int run();

private:
  void onView(std::shared_ptr<const dispatch::RoutingView> view);
  void reportToControl();
  void onStatus(const ControlStatus& status);
  void awaitSignal();
  void awaitSettingsChange();
  void reload(const char* cause);
  void beginDrain();
  void checkDrained();
  bool ready() const;
  std::string metricsText() const;

  dispatch::EntrySettings settings_;
  SettingsSource source_;
  std::string lastFault_;
  std::uint64_t run_;
  EventLog log_;
  asio::io_context traffic_{ 1 };
  asio::io_context control_{ 1 };
  Dispatcher dispatcher_;
  CallerServer callers_;
  ReadinessServer readiness_;
  std::optional<ReadinessServer> metrics_;
  EntryControl entryControl_;
  asio::signal_set signals_;
  asio::steady_timer reportTimer_;
  asio::steady_timer drainTimer_;
  asio::steady_timer settingsTimer_;
  std::shared_ptr<const dispatch::RoutingView> view_;
  // As the control thread last told it.
  ControlStatus status_;
  base::TimePoint nextStatusLine_{};
  base::TimePoint drainBegan_{};
  bool draining_ = false;
  bool stoppedAccepting_ = false;
};

} // namespace sycamore::entry
