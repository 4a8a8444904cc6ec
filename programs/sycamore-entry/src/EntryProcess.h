#pragma once

#include <entry/CallerServer.h>
#include <entry/EntryControl.h>
#include <entry/HandlerFailure.h>
#include <entry/ReadinessServer.h>

#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace sycamore::entry {

// The process of an entry VM. One thread handles traffic and another one control state; they
// exchange immutable values through their task queues.
class EntryProcess
{
public:
  // Reads the settings again. Throws base::Error if they are missing or invalid.
  using SettingsSource = std::function<dispatch::EntrySettings()>;

  EntryProcess(const dispatch::EntrySettings& settings, SettingsSource source);

  // Runs until SIGTERM or SIGINT and the drain that follows. Returns the exit status of the
  // process.
  int run();

private:
  void onHandlerFailed(const HandlerFailure& failure);
  void onView(std::shared_ptr<const dispatch::RoutingView> view);
  void reportToControl();
  void onStatus(const ControlStatus& status);
  void awaitSignal();
  void awaitSettingsChange();
  void reload(const char* cause);
  void beginDrain();
  void checkDrainProgress();
  bool isReady() const;
  std::string metricsText() const;

  dispatch::EntrySettings settings_;
  SettingsSource readSettings_;
  std::string lastSettingsError_;
  std::uint64_t runId_;
  EventLog log_;
  // Number of handlers that an exception has left, on both threads.
  std::atomic<std::uint64_t> handlersFailed_{ 0 };
  asio::io_context traffic_{ 1 };
  asio::io_context control_{ 1 };
  Dispatcher dispatcher_;
  CallerServer callerServer_;
  ReadinessServer readinessServer_;
  std::optional<ReadinessServer> metricsServer_;
  EntryControl entryControl_;
  asio::signal_set signals_;
  asio::steady_timer reportTimer_;
  asio::steady_timer drainTimer_;
  asio::steady_timer settingsTimer_;
  std::shared_ptr<const dispatch::RoutingView> view_;
  // As last reported by the control thread.
  ControlStatus status_;
  base::TimePoint nextStatusLineAt_{};
  // Set once the process has been told to stop.
  std::optional<dispatch::ShutdownPlan> shutdown_;
  bool stoppedAccepting_ = false;
  bool requestsEnded_ = false;
};

} // namespace sycamore::entry
