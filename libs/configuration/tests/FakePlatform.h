#pragma once

#include <base/Time.h>
#include <configuration/ChangeCoordinator.h>

#include <map>
#include <random>
#include <vector>

namespace sycamore::configuration {

// In-memory fake of the platform's object API with injected faults: writes are lost before or after
// they take effect, lost writes may arrive late, and reads may be stale. `faultProbability` applies
// to each call.
class FakePlatform
{
public:
  explicit FakePlatform(std::uint64_t seed, double faultProbability = 0)
    : random_(seed)
    , faultProbability_(faultProbability)
  {
  }

  WriteResult write(const WriteStep& step, base::TimePoint)
  {
    if (injectFault()) {
      switch (random_() % 3) {
        case 0:
          put(step);
          break;
        case 1:
          delayedWrites_.push_back(step);
          break;
        default:
          break;
      }
      clock_.advance(base::milliseconds(20));
      return {};
    }
    return put(step);
  }

  ReadResult read(const ReadStep& step, base::TimePoint)
  {
    if (injectFault()) {
      clock_.advance(base::milliseconds(20));
      return {};
    }
    const auto found = objects_.find(step.name);
    if (found == objects_.end()) {
      return { ReadResult::Kind::Absent, std::nullopt };
    }
    const auto& history = found->second;
    const bool stale = history.size() > 1 && injectFault();
    return { ReadResult::Kind::Found, stale ? history[history.size() - 2] : history.back() };
  }

  // Delivers the oldest delayed write in one of four calls.
  void deliverDelayedWrite()
  {
    if (!delayedWrites_.empty() && random_() % 4 == 0) {
      put(delayedWrites_.front());
      delayedWrites_.erase(delayedWrites_.begin());
    }
  }

  void waitUntil(base::TimePoint time)
  {
    if (time > clock_.now()) {
      clock_.set(time);
    }
  }
  base::TimePoint now() const { return clock_.now(); }

  // Returns all versions of an object, oldest first.
  const std::vector<ConfigObject>& history(const ObjectName& name) { return objects_[name]; }

private:
  bool injectFault() { return std::uniform_real_distribution<>(0, 1)(random_) < faultProbability_; }

  WriteResult put(const WriteStep& step)
  {
    auto& history = objects_[step.name];
    const base::Version current = history.empty() ? base::Version() : history.back().version;
    WriteResult result;
    if (current != step.ifVersion) {
      result.kind = WriteResult::Kind::VersionMismatch;
      result.current = history.empty() ? std::nullopt : std::optional(history.back());
      return result;
    }
    result.kind = WriteResult::Kind::Stored;
    result.version = base::Version(current.value() + 1);
    history.push_back({ step.name, result.version, step.value });
    return result;
  }

  std::mt19937_64 random_;
  double faultProbability_;
  base::ManualClock clock_;
  std::map<ObjectName, std::vector<ConfigObject>> objects_;
  std::vector<WriteStep> delayedWrites_;
};

} // namespace sycamore::configuration
