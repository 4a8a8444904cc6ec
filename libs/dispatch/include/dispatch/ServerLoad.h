#pragma once

#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/WorkMean.h>

#include <optional>

namespace sycamore::dispatch {

// This entry VM's estimate of the load of one backend server, from its own requests in flight, the
// server's last load report and the measured processing times.
class ServerLoad
{
public:
  explicit ServerLoad(unsigned slots, base::Duration assumedWork);

  void onRequestSent();

  // A request ended without the server having run it to an answer.
  void onRequestEnded();

  // The server ran a request and answered after `elapsed`, with a load report if it sends one. The
  // queue length determines which part of that time was processing, which is returned.
  base::Duration onRequestExecuted(base::Duration elapsed, const std::optional<LoadReport>& report);

  void onLoadReport(const LoadReport& report, base::TimePoint now);

  // The entry VMs of this failure domain know together that other VMs have this many requests in
  // flight at the server, and its mean processing time if they have measured it recently.
  void onSharedLoad(double othersInFlight, std::optional<base::Duration> work, base::TimePoint now);

  // The server refused a request for lack of room.
  void onServerFull(base::TimePoint now);

  // A connection failed or a request got no answer.
  void onFailure(base::TimePoint now);
  void onAnswer(base::TimePoint now);

  // Returns the time of the server's last answer of any kind.
  base::TimePoint lastAnswerAt() const { return lastAnswerAt_; }

  // Returns the mean processing time of a request in a slot.
  base::Duration work() const { return work_; }

  // Sets the processing time to assume until this server's own has been measured, such as the mean
  // of the service's other servers.
  void assumeWork(base::Duration work)
  {
    if (!isWorkMeasured_) {
      work_ = work;
    }
  }

  // Returns the requests that the server ran since the last call, and their total time in slots.
  WorkSample takeWorkSample();

  // Returns the number of requests that this entry VM has sent and that haven't ended.
  unsigned inFlight() const { return inFlight_; }

  // Returns the estimated number of requests at the server, including those of other entry VMs.
  double occupancy(base::TimePoint now) const;

  // Returns the expected time from sending a request to its answer.
  base::Duration expectedLatency(base::TimePoint now) const;

  // Returns whether to avoid the server after repeated failures. The state ends with an answer, or
  // after a time that grows with each failure.
  bool isSuspect(base::TimePoint now) const { return now < suspectUntil_; }
  unsigned consecutiveFailures() const { return consecutiveFailures_; }

private:
  unsigned slots_;
  // Mean processing time of a request in a slot.
  base::Duration work_;
  bool isWorkMeasured_ = false;
  WorkSample sample_;
  unsigned inFlight_ = 0;
  // Requests of other entry VMs at the time of the last report.
  double otherRequests_ = 0;
  double slowness_ = 1;
  // Requests of other entry VMs as last shared, and the time until which that counts.
  double sharedOtherRequests_ = 0;
  base::TimePoint sharedLoadExpiresAt_{};
  base::TimePoint reportedAt_{};
  base::TimePoint lastAnswerAt_{};
  unsigned consecutiveFailures_ = 0;
  base::TimePoint suspectUntil_{};
};

} // namespace sycamore::dispatch
