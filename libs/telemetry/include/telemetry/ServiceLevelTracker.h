#pragma once

#include <telemetry/AnswerClassification.h>
#include <telemetry/ServiceLevelSnapshot.h>
#include <telemetry/TimeBucketRing.h>

#include <optional>

namespace sycamore::telemetry {

// The objective of a service.
struct ServiceLevelObjective
{
  double goodRatio = 0.999;
  base::Duration latency = std::chrono::milliseconds(100);
};

// Good and bad answers of one service over the last six hours in buckets of 10 s, and over 30 days
// in hours; latencies in minutes. Bounded memory, independent of load: about 0.8 MB with 20 servers
// and 1.1 MB with 256. A window of W covers the bucket in progress and those before it, so at most
// W and at least W less 10 s. Not thread-safe.
class ServiceLevelTracker
{
public:
  ServiceLevelTracker(ServiceLevelObjective objective, base::TimePoint now);

  // Answers already judged keep their verdict.
  void setObjective(ServiceLevelObjective objective) { objective_ = objective; }

  void recordAnswer(const RequestSample& sample, base::TimePoint now);
  void recordLoad(const base::ServerId& server, std::uint64_t requests, base::TimePoint now);
  void retainServers(const std::vector<base::ServerId>& servers, base::TimePoint now);

  // Shards whose owner changed.
  void recordMovedShards(std::uint64_t shards, base::TimePoint now);

  // How many shards have no owner now. Unavailable time is the time between an observation with any
  // and the next one, but at most 10 s, because nothing is known of the time in which the process
  // was paused.
  void recordOwnerlessShards(std::uint64_t shards, base::TimePoint now);

  ServiceLevelSnapshot snapshot(base::TimePoint now) const;

private:
  void add(const ServiceLevelCounts& counts, base::TimePoint now);
  bool isOwnershipChanging(base::TimePoint now) const;

  ServiceLevelObjective objective_;
  const base::TimePoint start_;
  TimeBucketRing<ServiceLevelCounts> fineBuckets_;
  TimeBucketRing<ServiceLevelCounts> hourBuckets_;
  TimeBucketRing<std::optional<LatencyCounts>> latencyBuckets_;
  ServerLoads loads_;
  std::optional<base::TimePoint> lastOwnershipChange_;
  std::optional<base::TimePoint> lastOwnerlessObservation_;
};

} // namespace sycamore::telemetry
