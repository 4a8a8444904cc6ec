#include "EntryProcess.h"

#include <base/Error.h>
#include <entry/SteadyTime.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>
#include <thread>

namespace sycamore::entry {

namespace {

// Time between two reports of traffic to control.
constexpr std::chrono::milliseconds kReportInterval{ 250 };
// The platform needs some seconds to send new connections elsewhere.
constexpr base::Duration kKeepAccepting = std::chrono::milliseconds(3200);
constexpr std::chrono::milliseconds kDrainCheck{ 50 };
// Time between two lines of the log that tell the counters.
constexpr base::Duration kStatusInterval = std::chrono::seconds(10);
// Time between two looks at the settings file.
constexpr std::chrono::seconds kSettingsCheck{ 5 };
// Time before SIGKILL at which the process ends in any case.
constexpr base::Duration kKillMargin = std::chrono::milliseconds(150);

std::uint64_t randomRun()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

EntryProcess::EntryProcess(const dispatch::EntrySettings& settings, SettingsSource source)
  : settings_(settings)
  , source_(std::move(source))
  , run_(randomRun())
  , log_(settings.vm.value())
  , dispatcher_(traffic_, settings, log_, run_)
  , callers_(traffic_, settings.callers, dispatcher_)
  , readiness_(
      traffic_,
      settings.readiness,
      [this] { return ready(); },
      [this] { return metricsText(); })
  , entryControl_(
      control_,
      settings,
      log_,
      run_,
      [this](std::shared_ptr<const dispatch::RoutingView> view) {
        asio::post(traffic_, [this, view = std::move(view)] { onView(view); });
      },
      [this](const ConnectionBreak& connectionBreak) {
        asio::post(traffic_, [this, connectionBreak] {
          dispatcher_.onRemoteConnectionBreak(connectionBreak.digest,
                                              connectionBreak.serverIncarnation);
        });
      })
  , signals_(traffic_, SIGTERM, SIGINT, SIGHUP)
  , reportTimer_(traffic_)
  , drainTimer_(traffic_)
  , settingsTimer_(traffic_)
{
  if (settings.metricsPort != 0) {
    metrics_.emplace(
      traffic_,
      dispatch::Endpoint{ settings.ip, settings.metricsPort },
      [this] { return ready(); },
      [this] { return metricsText(); });
  }
  dispatcher_.setConnectionBreakListener(
    [this](std::uint64_t digest, const std::string& incarnation) {
      asio::post(control_, [this, digest, incarnation] {
        entryControl_.onConnectionBreak({ digest, incarnation });
      });
    });
}

int EntryProcess::run()
{
  log_.write("start",
             { { "run", run_ },
               { "domain", settings_.domain.value() },
               { "callers", settings_.callers.ip + ":" + std::to_string(settings_.callers.port) },
               { "store", settings_.store.ip + ":" + std::to_string(settings_.store.port) } });
  awaitSignal();
  awaitSettingsChange();
  reportToControl();
  const auto controlWork = asio::make_work_guard(control_);
  std::thread control([this] {
    entryControl_.start();
    control_.run();
  });
  traffic_.run();
  control_.stop();
  control.join();
  log_.write("stop", { { "received", dispatcher_.counts().received } });
  return 0;
}

void EntryProcess::onView(std::shared_ptr<const dispatch::RoutingView> view)
{
  view_ = view;
  dispatcher_.publish(std::move(view));
}

void EntryProcess::reportToControl()
{
  reportTimer_.expires_after(kReportInterval);
  reportTimer_.async_wait([this](const error_code& error) {
    if (error) {
      return;
    }
    asio::post(control_, [this, report = dispatcher_.takeReport()]() mutable {
      entryControl_.recordTraffic(std::move(report));
      asio::post(traffic_, [this, status = entryControl_.status()] { onStatus(status); });
    });
    reportToControl();
  });
}

void EntryProcess::onStatus(const ControlStatus& status)
{
  status_ = status;
  const base::TimePoint now = clockNow();
  if (now < nextStatusLine_) {
    return;
  }
  nextStatusLine_ = now + kStatusInterval;
  const DispatchCounts& counts = dispatcher_.counts();
  log_.write("status",
             { { "received", counts.received },
               { "passed_on", counts.passedOn },
               { "retries", counts.retries },
               { "coordinating", status.isCoordinator },
               { "watching", status.watchesStore },
               { "ranges", status.ranges },
               { "ranges_unowned", status.rangesUnowned },
               { "entry_vms", status.entryVms },
               { "ownership_revision", status.ownershipRevision },
               { "store_lists", status.calls.lists },
               { "store_watches", status.calls.watches },
               { "store_reads", status.calls.reads },
               { "store_writes", status.calls.writes },
               { "store_failed", status.calls.failed } });
}

void EntryProcess::awaitSignal()
{
  signals_.async_wait([this](const error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      reload("signal");
    } else {
      beginDrain();
    }
    awaitSignal();
  });
}

// The settings file may change without a signal.
void EntryProcess::awaitSettingsChange()
{
  settingsTimer_.expires_after(kSettingsCheck);
  settingsTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      reload("change");
      awaitSettingsChange();
    }
  });
}

// The address of the store takes effect at once. What a process listens on, and where it is, needs
// a restart; a faulty file leaves the settings in force.
void EntryProcess::reload(const char* cause)
{
  try {
    const dispatch::EntrySettings next = source_();
    if (next == settings_) {
      return;
    }
    const bool needsRestart = next.vm != settings_.vm || next.domain != settings_.domain ||
                              next.ip != settings_.ip || next.callers != settings_.callers ||
                              next.readiness != settings_.readiness ||
                              next.peerPort != settings_.peerPort;
    log_.write("reload",
               { { "cause", cause },
                 { "store", next.store.ip + ":" + std::to_string(next.store.port) },
                 { "needs_restart", needsRestart } });
    settings_.store = next.store;
    settings_.shutdownGracePeriod = next.shutdownGracePeriod;
    asio::post(control_, [this, store = next.store] { entryControl_.setStore(store); });
  } catch (const base::Error& error) {
    if (lastFault_ != error.what()) {
      lastFault_ = error.what();
      log_.write("settings_faulty", { { "cause", cause }, { "error", lastFault_ } });
    }
  }
}

// Stops in steps: not ready, so that the platform sends new connections elsewhere; then no new
// connections; then the end, as soon as nothing is being handled.
void EntryProcess::beginDrain()
{
  if (draining_) {
    return;
  }
  draining_ = true;
  drainBegan_ = clockNow();
  log_.write("drain", { { "connections", callers_.connections() } });
  callers_.beginDrain();
  asio::post(control_, [this] { entryControl_.beginDrain(); });
  checkDrained();
}

void EntryProcess::checkDrained()
{
  const base::TimePoint now = clockNow();
  if (!stoppedAccepting_ && now >= drainBegan_ + kKeepAccepting) {
    stoppedAccepting_ = true;
    callers_.stopAccepting();
  }
  const bool idle = stoppedAccepting_ && callers_.activeRequests() == 0;
  if (idle || now >= drainBegan_ + settings_.shutdownGracePeriod - kKillMargin) {
    traffic_.stop();
    return;
  }
  drainTimer_.expires_after(kDrainCheck);
  drainTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      checkDrained();
    }
  });
}

bool EntryProcess::ready() const
{
  if (draining_ || !view_ || !view_->isComplete()) {
    return false;
  }
  const auto& services = view_->configuration->services;
  const bool keyed = std::any_of(
    services.begin(), services.end(), [](const auto& entry) { return entry.second.keyed; });
  return !keyed || view_->ownership;
}

std::string EntryProcess::metricsText() const
{
  const DispatchCounts& counts = dispatcher_.counts();
  std::ostringstream text;
  const auto line = [&text](const char* name, std::uint64_t value) {
    text << "sycamore_entry_" << name << ' ' << value << '\n';
  };
  line("requests_received_total", counts.received);
  line("answers_passed_on_total", counts.passedOn);
  line("refused_no_route_total", counts.refusedNoRoute);
  line("refused_no_owner_total", counts.refusedNoOwner);
  line("refused_no_room_total", counts.refusedNoRoom);
  line("refused_by_server_total", counts.refusedByServer);
  line("refused_unreachable_total", counts.refusedUnreachable);
  line("failed_unknown_total", counts.failedUnknown);
  line("failed_timeout_total", counts.failedTimeout);
  line("caller_left_total", counts.callerLeft);
  line("retries_total", counts.retries);
  line("log_lines_dropped_total", log_.dropped());
  line("configuration_version", view_ && view_->configuration ? view_->configuration->version : 0);
  line("ownership_epoch", view_ && view_->ownership ? view_->ownership->epoch : 0);
  line("connections", callers_.connections());
  std::string all = text.str();
  writeStatus(all, status_);
  dispatcher_.metrics().write(all);
  return all;
}

} // namespace sycamore::entry
