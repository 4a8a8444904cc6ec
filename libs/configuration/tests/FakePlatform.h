#pragma once

#include <base/Time.h>
#include <configuration/ChangeCoordinator.h>

#include <map>
#include <random>
#include <vector>

namespace sycamore::configuration {

// The platform's object API in memory, with faults: answers are lost before or after the write
// takes effect, and lost writes may arrive late.
class FakePlatform
{
public:
  explicit FakePlatform(std::uint64_t seed, double faults = 0)
    : random_(seed)
    , faults_(faults)
  {
  }

  WriteResult write(const WriteStep& step, base::TimePoint)
  {
    if (happens()) {
      switch (random_() % 3) {
        case 0:
          put(step);
          break;
        case 1:
          late_.push_back(step);
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
    if (happens()) {
      clock_.advance(base::milliseconds(20));
      return {};
    }
    const auto found = objects_.find(step.name);
    if (found == objects_.end()) {
      return { ReadResult::Kind::Absent, std::nullopt };
    }
    // A stale read, now and then.
    const auto& history = found->second;
    const bool stale = history.size() > 1 && happens();
    return { ReadResult::Kind::Found, stale ? history[history.size() - 2] : history.back() };
  }

  // Lets a write arrive whose answer was given up.
  void deliverLate()
  {
    if (!late_.empty() && random_() % 4 == 0) {
      put(late_.front());
      late_.erase(late_.begin());
    }
  }

  void waitUntil(base::TimePoint time)
  {
    if (time > clock_.now()) {
      clock_.set(time);
    }
  }
  base::TimePoint now() const { return clock_.now(); }

  // All versions of an object, oldest first.
  const std::vector<ConfigObject>& history(const ObjectName& name) { return objects_[name]; }

private:
  bool happens() { return std::uniform_real_distribution<>(0, 1)(random_) < faults_; }

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
  double faults_;
  base::ManualClock clock_;
  std::map<ObjectName, std::vector<ConfigObject>> objects_;
  std::vector<WriteStep> late_;
};

} // namespace sycamore::configuration
