#include "Deployment.h"
#include "Measurements.h"

#include <algorithm>
#include <unordered_set>

namespace sycamore::placement::quality {

namespace {

constexpr int kWarmUpSeconds = 20;
constexpr int kMaxSeconds = 60;
// Rate of the hot key relative to the threshold at which a key counts as hot.
constexpr double kHotRateFactor = 2.0;
// The target "within seconds" is taken as five seconds.
constexpr double kDetectionBoundMs = 5000;
// An entry VM's control plane may use 32 MB, shared by sixteen traffic threads.
constexpr double kBytesBound = 32e6 / 16;
// Baseline: exact counts of all keys in windows of ten seconds, about the delay of load reports.
constexpr int kWindowSeconds = 10;
// Shift of the start within a window from one run to the next, in seconds.
constexpr int kPhaseStep = 3;

struct Detection
{
  double trackerMs = kMaxSeconds * 1000.0;
  double windowMs = kMaxSeconds * 1000.0;
};

double hotRate(const Scenario& scenario)
{
  const double threshold =
    HotKeyPolicy::Options().splitShare * scenario.requestRate / scenario.servers;
  return kHotRateFactor * threshold;
}

// Measures the detection of a key that turns hot `phase` seconds after the start of a window.
Detection measureDetection(Deployment& deployment, double rate, int phase)
{
  const base::Key key("turned-hot");
  deployment.addHotKey(key, rate);
  Detection detection;
  double windowRequests = 0;
  for (int elapsed = 1; elapsed <= kMaxSeconds; ++elapsed) {
    deployment.runSecond();
    windowRequests += deployment.hotKeyRequests();
    if (deployment.map().overrideOf(key)) {
      detection.trackerMs = std::min(detection.trackerMs, elapsed * 1000.0);
    }
    if ((phase + elapsed) % kWindowSeconds == 0) {
      const bool isHot = windowRequests / kWindowSeconds > rate / kHotRateFactor;
      detection.windowMs =
        std::min(detection.windowMs, isHot ? elapsed * 1000.0 : detection.windowMs);
      windowRequests = 0;
    }
  }
  return detection;
}

double median(std::vector<double> values)
{
  std::ranges::sort(values);
  return values[values.size() / 2];
}

} // namespace

std::vector<Result> measureHotKeys(const Scenario& scenario, const RunOptions& options)
{
  std::vector<double> times;
  std::vector<double> windowTimes;
  std::size_t bytes = 0;
  for (int run = 0; run < options.runs; ++run) {
    const auto keys = std::make_shared<const ZipfKeys>(scenario.keys, scenario.keyPrefix);
    Deployment deployment(scenario, keys, options.seed + run);
    for (int second = 0; second < kWarmUpSeconds; ++second) {
      deployment.runSecond();
    }
    const Detection detection =
      measureDetection(deployment, hotRate(scenario), run * kPhaseStep % kWindowSeconds);
    times.push_back(detection.trackerMs);
    windowTimes.push_back(detection.windowMs);
    bytes = std::max(bytes, deployment.tracker().memoryBytes());
  }
  return { { "hot_key_detection_ms",
             scenario.name,
             median(times),
             "ms",
             kDetectionBoundMs,
             "10-s-window",
             median(windowTimes),
             options.runs },
           { "hot_key_tracker_bytes",
             scenario.name,
             static_cast<double>(bytes),
             "bytes",
             kBytesBound,
             {},
             {},
             options.runs } };
}

} // namespace sycamore::placement::quality
