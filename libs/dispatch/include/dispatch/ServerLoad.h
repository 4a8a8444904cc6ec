#pragma once

#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/WorkMean.h>

#include <optional>

namespace sycamore::dispatch {

// What this entry VM knows of the load of one backend server: its own requests in flight, the last
// report, and how long requests take there.
class ServerLoad
{
public:
  explicit ServerLoad(unsigned slots, base::Duration assumedWork);

  void onRequestSent();

  // A request ended that the server didn't run to an answer.
  void onRequestEnded();

  // The server answered a request that it ran, after `elapsed`, with its load if it tells it. The
  // length of the queue tells which part of the time was work.
  void onRequestExecuted(base::Duration elapsed, const std::optional<LoadReport>& report);

  void onLoadReport(const LoadReport& report, base::TimePoint now);

  // The server refused a request for lack of room.
  void onServerFull(base::TimePoint now);

  // A connection failed or a request got no answer.
  void onFailure(base::TimePoint now);
  void onAnswer(base::TimePoint now);

  // When the server last answered anything.
  base::TimePoint lastAnswerAt() const { return lastAnswerAt_; }

  // Mean time that a request takes in a slot.
  base::Duration work() const { return work_; }

  // Requests that ended since the last call, and the time that they took in slots.
  WorkSample takeWorkSample();

  // Requests that this entry VM has sent and that haven't ended.
  unsigned inFlight() const { return inFlight_; }

  // Requests at the server, those of other entry VMs included, as far as known.
  double occupancy(base::TimePoint now) const;

  // Expected time from sending a request to its answer.
  base::Duration expectedLatency(base::TimePoint now) const;

  // Whether requests should go elsewhere until a single trial succeeds.
  bool isSuspect(base::TimePoint now) const { return now < suspectUntil_; }
  unsigned consecutiveFailures() const { return consecutiveFailures_; }

private:
  unsigned slots_;
  // Mean time that a request takes in a slot of this server.
  base::Duration work_;
  WorkSample sample_;
  unsigned inFlight_ = 0;
  // Requests of others at the time of the report.
  double others_ = 0;
  double slowness_ = 1;
  base::TimePoint reportedAt_{};
  base::TimePoint lastAnswerAt_{};
  unsigned consecutiveFailures_ = 0;
  base::TimePoint suspectUntil_{};
};

} // namespace sycamore::dispatch
