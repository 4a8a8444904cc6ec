#pragma once

#include <telemetry/AnswerClassification.h>
#include <telemetry/ServiceLevelSnapshot.h>
#include <telemetry/TimeBucketRing.h>

#include <optional>

namespace sycamore::telemetry {

// Service-level objective (SLO): share of good answers, and the latency up to which one is good.
struct ServiceLevelObjective
{
  double goodRatio = 0.999;
  base::Duration latency = std::chrono::milliseconds(100);
};

// Tracks the answers of one service against its objective: the last six hours in buckets of 10 s,
// 30 days in buckets of an hour, and latencies in buckets of a minute. Memory is bounded
// independent of load: about 0.8 MB with 20 servers and 1.1 MB with 256. A window of length W
// consists of the current bucket and the ones before it, so it covers between W - 10 s and W. Not
// thread-safe.
class ServiceLevelTracker
{
public:
  ServiceLevelTracker(ServiceLevelObjective objective, base::TimePoint now);

  // Applies to later answers only; answers already counted keep their classification.
  void setObjective(ServiceLevelObjective objective) { objective_ = objective; }

  void recordAnswer(const RequestSample& sample, base::TimePoint now);
  void recordLoad(const base::ServerId& server, std::uint64_t requests, base::TimePoint now);
  void retainServers(const std::vector<base::ServerId>& servers, base::TimePoint now);

  // Records the number of shards whose owner changed.
  void recordMovedShards(std::uint64_t shards, base::TimePoint now);

  // Records the number of shards that have no owner now. The time from an observation with
  // ownerless shards to the next observation counts as unavailable, but at most 10 s of it, because
  // nothing is known about a longer gap, in which the process was paused.
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
