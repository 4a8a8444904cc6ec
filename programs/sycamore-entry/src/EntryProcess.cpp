#include "EntryProcess.h"

#include <base/Error.h>
#include <entry/CrashLine.h>
#include <entry/EventLoop.h>
#include <entry/HandlerScope.h>
#include <entry/SteadyTime.h>
#include <telemetry/PrometheusText.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>
#include <thread>

namespace sycamore::entry {

namespace {

// Interval between two traffic reports to the control thread.
constexpr std::chrono::milliseconds kReportInterval{ 200 };
constexpr std::chrono::milliseconds kDrainCheckInterval{ 50 };
// Interval between two log lines with the counters.
constexpr base::Duration kStatusInterval = std::chrono::seconds(10);
// Interval between two checks of the settings file.
constexpr std::chrono::seconds kSettingsCheckInterval{ 5 };

std::uint64_t randomRunId()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

void appendSharesSentAway(std::string& out, const std::map<base::ServiceId, double>& shares)
{
  const char* const name = "sycamore_entry_share_sent_away";
  telemetry::writeMetricHeader(
    out, name, "Share of a service's requests that other failure domains are to get.", "gauge");
  for (const auto& [service, share] : shares) {
    out += name + telemetry::labelText({ "service" }, { service.value() }) + ' ' +
           telemetry::numberText(share) + '\n';
  }
}

nlohmann::json toJson(const std::map<base::ServiceId, double>& shares)
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, share] : shares) {
    json[service.value()] = share;
  }
  return json;
}

} // namespace

EntryProcess::EntryProcess(const dispatch::EntrySettings& settings, SettingsSource source)
  : settings_(settings)
  , readSettings_(std::move(source))
  , runId_(randomRunId())
  , log_(settings.vm.value())
  , dispatcher_(traffic_, settings, log_, runId_)
  , callerServer_(traffic_, settings.callers, dispatcher_)
  , readinessServer_(
      traffic_,
      settings.readiness,
      [this] { return isReady(); },
      [this] { return metricsText(); })
  , entryControl_(
      control_,
      settings,
      log_,
      runId_,
      [this](std::shared_ptr<const dispatch::RoutingView> view) {
        asio::post(traffic_, [this, view = std::move(view)] { onView(view); });
      },
      [this](const ConnectionBreak& connectionBreak) {
        asio::post(traffic_, [this, connectionBreak] {
          dispatcher_.onRemoteConnectionBreak(connectionBreak.digest,
                                              connectionBreak.serverIncarnation);
        });
      },
      [this](dispatch::LoadSummary summary) {
        asio::post(traffic_,
                   [this, summary = std::move(summary)] { dispatcher_.onSharedLoad(summary); });
      },
      [this](const dispatch::ServerIncarnation& server, const dispatch::PermitGrant& grant) {
        asio::post(traffic_, [this, server, grant] { dispatcher_.onPermitGrant(server, grant); });
      },
      [this](dispatch::QuotaLoans loans) {
        asio::post(traffic_, [this, loans = std::move(loans)] { dispatcher_.onQuotaLoans(loans); });
      })
  , signals_(traffic_, SIGTERM, SIGINT, SIGHUP)
  , reportTimer_(traffic_)
  , drainTimer_(traffic_)
  , settingsTimer_(traffic_)
{
  if (settings.metricsPort != 0) {
    metricsServer_.emplace(
      traffic_,
      dispatch::Endpoint{ settings.ip, settings.metricsPort },
      [this] { return isReady(); },
      [this] { return metricsText(); });
  }
  dispatcher_.setConnectionBreakListener(
    [this](std::uint64_t digest, const std::string& incarnation) {
      asio::post(control_, [this, digest, incarnation] {
        entryControl_.onConnectionBreak({ digest, incarnation });
      });
    });
  dispatcher_.setHotKeysListener([this](dispatch::KeyReports keys) {
    asio::post(control_, [this, keys = std::move(keys)] { entryControl_.recordHotKeys(keys); });
  });
  dispatcher_.setLeavingListener([this](const dispatch::ServerIncarnation& server) {
    asio::post(control_, [this, server] { entryControl_.onServersLeaving({ server }); });
  });
  dispatcher_.setLimitListeners(
    [this](const dispatch::ServerIncarnation& server, std::optional<dispatch::RequestLimit> limit) {
      asio::post(control_, [this, server, limit] { entryControl_.onServerLimit(server, limit); });
    },
    [this](const dispatch::PermitQuestion& question) {
      asio::post(control_, [this, question] { entryControl_.requestPermits(question); });
    });
  dispatcher_.setQuotaQuestionListener([this](dispatch::QuotaQuestions questions) {
    asio::post(control_,
               [this, questions = std::move(questions)] { entryControl_.askForQuota(questions); });
  });
}

int EntryProcess::run()
{
  const CrashLine crashLine(log_);
  log_.write("start",
             { { "run", runId_ },
               { "domain", settings_.domain.value() },
               { "callers", settings_.callers.ip + ":" + std::to_string(settings_.callers.port) },
               { "store", settings_.store.ip + ":" + std::to_string(settings_.store.port) } });
  awaitSignal();
  awaitSettingsChange();
  reportToControl();
  const auto controlWork = asio::make_work_guard(control_);
  const auto failed = [this](const HandlerFailure& failure) { onHandlerFailed(failure); };
  asio::post(control_, [this] { entryControl_.start(); });
  std::thread control([this, failed] { runEventLoop(control_, failed); });
  runEventLoop(traffic_, failed);
  control_.stop();
  control.join();
  log_.write("stop", { { "received", dispatcher_.counts().received } });
  return 0;
}

// Called by both threads.
void EntryProcess::onHandlerFailed(const HandlerFailure& failure)
{
  ++handlersFailed_;
  log_.write("handler_failed", toJson(failure));
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
    reportToControl();
    asio::post(control_, [this, report = dispatcher_.takeReport()]() mutable {
      const HandlerScope scope("traffic_report");
      entryControl_.recordTraffic(std::move(report));
      asio::post(traffic_, [this, status = entryControl_.status()] { onStatus(status); });
    });
  });
}

void EntryProcess::onStatus(const ControlStatus& status)
{
  status_ = status;
  const base::TimePoint now = clockNow();
  if (now < nextStatusLineAt_) {
    return;
  }
  nextStatusLineAt_ = now + kStatusInterval;
  const DispatchCounts& counts = dispatcher_.counts();
  log_.write("status",
             { { "run", runId_ },
               { "received", counts.received },
               { "passed_on", counts.passedOn },
               { "retries", counts.retries },
               { "pipelined", counts.pipelined },
               { "pipeline_waits", counts.pipelineWaits },
               { "coordinating", status.isCoordinator },
               { "watching", status.watchesStore },
               { "ranges", status.ranges },
               { "ranges_unowned", status.rangesUnowned },
               { "hot_span_spreads", status.hotSpanSpreads },
               { "order_answers",
                 { status.orderAnswers.ownId,
                   status.orderAnswers.withoutId,
                   status.orderAnswers.otherId,
                   status.orderAnswers.unasked } },
               { "refused_unknown_key", counts.refusedUnknownKey },
               { "refused_keys_outdated", counts.refusedKeysOutdated },
               { "refused_over_quota", counts.refusedOverQuota },
               { "refused_no_quota_answer", counts.refusedNoQuotaAnswer },
               { "quota", { status.quotas.lent, status.quotas.denied, status.quotas.returned } },
               { "entry_vms", status.entryVms },
               { "ownership_revision", status.ownershipRevision },
               { "store_lists", status.calls.lists },
               { "store_watches", status.calls.watches },
               { "store_reads", status.calls.reads },
               { "store_writes", status.calls.writes },
               { "store_failed", status.calls.failed },
               { "server_connections", dispatcher_.connections().toJson() },
               { "sent_away", toJson(dispatcher_.sharesSentAway()) },
               { "bytes", { dispatcher_.bytes().toJson(), status.bytes.toJson() } } });
}

void EntryProcess::awaitSignal()
{
  signals_.async_wait([this](const error_code& error, int signal) {
    if (error) {
      return;
    }
    awaitSignal();
    if (signal == SIGHUP) {
      reload("signal");
    } else {
      beginDrain();
    }
  });
}

// The settings file is also polled, since it may change without a SIGHUP.
void EntryProcess::awaitSettingsChange()
{
  settingsTimer_.expires_after(kSettingsCheckInterval);
  settingsTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      awaitSettingsChange();
      reload("change");
    }
  });
}

// A new address of the store and a new grace period take effect at once. The VM's id, failure
// domain and listen addresses need a restart. If the file is invalid, the current settings stay in
// force.
void EntryProcess::reload(const char* cause)
{
  try {
    const dispatch::EntrySettings next = readSettings_();
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
    if (lastSettingsError_ != error.what()) {
      lastSettingsError_ = error.what();
      log_.write("settings_faulty", { { "cause", cause }, { "error", lastSettingsError_ } });
    }
  }
}

// Shuts down in steps: the VM reports that it is not ready, so that the platform directs new
// connections to other VMs; then it stops accepting connections; then the process ends as soon as
// no request is in flight. Requests that are still in flight shortly before the platform kills the
// process get their final answer then.
void EntryProcess::beginDrain()
{
  if (shutdown_) {
    return;
  }
  shutdown_.emplace(clockNow(), settings_.shutdownGracePeriod);
  log_.write("drain", { { "connections", callerServer_.connections() } });
  dispatcher_.beginShutdown(*shutdown_);
  callerServer_.beginDrain();
  asio::post(control_, [this] { entryControl_.beginDrain(); });
  checkDrainProgress();
}

void EntryProcess::checkDrainProgress()
{
  const base::TimePoint now = clockNow();
  if (!stoppedAccepting_ && now >= shutdown_->acceptsUntil()) {
    stoppedAccepting_ = true;
    callerServer_.stopAccepting();
  }
  if (!requestsEnded_ && now >= shutdown_->lastAnswerAt()) {
    requestsEnded_ = true;
    log_.write("drain_ends_requests", { { "requests", callerServer_.activeRequests() } });
    callerServer_.endRequests();
  }
  const bool idle = stoppedAccepting_ && callerServer_.activeRequests() == 0;
  if (idle || now >= shutdown_->endsAt()) {
    traffic_.stop();
    return;
  }
  drainTimer_.expires_after(kDrainCheckInterval);
  drainTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      checkDrainProgress();
    }
  });
}

bool EntryProcess::isReady() const
{
  if (shutdown_ || !view_ || !view_->isComplete()) {
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
  const auto appendMetric = [&text](const char* name, std::uint64_t value) {
    text << "sycamore_entry_" << name << ' ' << value << '\n';
  };
  appendMetric("requests_received_total", counts.received);
  appendMetric("answers_passed_on_total", counts.passedOn);
  appendMetric("refused_no_route_total", counts.refusedNoRoute);
  appendMetric("refused_no_owner_total", counts.refusedNoOwner);
  appendMetric("refused_no_room_total", counts.refusedNoRoom);
  appendMetric("refused_by_server_total", counts.refusedByServer);
  appendMetric("refused_unreachable_total", counts.refusedUnreachable);
  appendMetric("refused_no_memory_total", counts.refusedNoMemory);
  appendMetric("refused_stopping_total", counts.refusedStopping);
  appendMetric("failed_unknown_total", counts.failedUnknown);
  appendMetric("failed_timeout_total", counts.failedTimeout);
  appendMetric("unreadable_answers_total", counts.unreadableAnswers);
  appendMetric("caller_left_total", counts.callerLeft);
  appendMetric("retries_total", counts.retries);
  appendMetric("pipelined_total", counts.pipelined);
  appendMetric("pipeline_waits_total", counts.pipelineWaits);
  appendMetric("servers_leaving_total", counts.serversLeaving);
  appendMetric("server_pauses_total", counts.serverPauses);
  appendMetric("refused_paused_total", counts.refusedPaused);
  appendMetric("refused_at_limit_total", counts.refusedAtLimit);
  appendMetric("permits_used_total", counts.permitsUsed);
  appendMetric("refused_unknown_key_total", counts.refusedUnknownKey);
  appendMetric("refused_keys_outdated_total", counts.refusedKeysOutdated);
  appendMetric("refused_over_quota_total", counts.refusedOverQuota);
  appendMetric("refused_no_quota_answer_total", counts.refusedNoQuotaAnswer);
  appendMetric("quota_questions_total", counts.quotaQuestions);
  appendMetric("log_lines_dropped_total", log_.dropped());
  appendMetric("handlers_failed_total", handlersFailed_);
  appendMetric("configuration_version",
               view_ && view_->configuration ? view_->configuration->version : 0);
  appendMetric("ownership_epoch", view_ && view_->ownership ? view_->ownership->epoch : 0);
  appendMetric("connections", callerServer_.connections());
  std::string metrics = text.str();
  writeStatus(metrics, status_);
  writeByteCounts(metrics, dispatcher_.bytes(), status_.bytes);
  dispatcher_.connections().write(metrics);
  appendSharesSentAway(metrics, dispatcher_.sharesSentAway());
  dispatcher_.metrics().write(metrics);
  return metrics;
}

} // namespace sycamore::entry
