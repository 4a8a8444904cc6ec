#pragma once

#include <entry/PeerLink.h>

#include <base/Time.h>
#include <dispatch/EntrySettings.h>
#include <dispatch/KeyReport.h>
#include <dispatch/ReportEcho.h>
#include <dispatch/WorkMean.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamore::entry {

// Gathers what this VM has to tell the coordinator, and sends it there in reports. While keys are
// hot, reports are due more often. Control thread only.
class ReportSender
{
public:
  // `run` identifies this run of the process. `peerLink` has to outlive this object.
  ReportSender(PeerLink& peerLink, const dispatch::EntrySettings& settings, std::uint64_t run);

  void addKeys(const dispatch::KeyReports& keys);
  void addWork(const std::map<base::ServerId, dispatch::WorkSample>& work);
  // Connections beyond a maximum number are left out.
  void addConnectionBreak(const ConnectionBreak& connectionBreak);
  // Returns the broken connections and forgets them: a coordinator sends them to the other VMs.
  std::vector<ConnectionBreak> takeConnectionBreaks();

  // The process is about to end, which the next reports say.
  void beginDrain() { isLeaving_ = true; }

  bool isDue(base::TimePoint now) const;
  // Sets the time from which on the next report is due. A report was sent, or there was nobody to
  // send it to.
  void scheduleNext(base::TimePoint now);

  // Sends a report. `needsEcho` states whether this VM needs to know how current the coordinator's
  // copy of the configuration is.
  void send(const PeerAddress& coordinator,
            const std::vector<dispatch::ServerIncarnation>& leavingServers,
            bool needsEcho);

  // Returns the time up to which the coordinator's copy holds all changes, see
  // dispatch::SentReports::currentAt().
  std::optional<base::TimePoint> currentAt(const dispatch::ReportEcho& echo) const
  {
    return sentReports_.currentAt(echo);
  }

private:
  PeerLink& peerLink_;
  base::VmId vm_;
  base::DomainId domain_;
  double capacity_;
  std::uint64_t run_;
  bool isLeaving_ = false;
  dispatch::KeyReports keys_;
  std::map<base::ServerId, dispatch::WorkSample> work_;
  std::vector<ConnectionBreak> connectionBreaks_;
  dispatch::SentReports sentReports_;
  base::TimePoint nextReportAt_{};
  // Time from which on a report with hot keys may be sent.
  base::TimePoint nextHotReportAt_{};
};

} // namespace sycamore::entry
