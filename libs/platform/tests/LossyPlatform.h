#pragma once

#include <ObjectTable.h>
#include <functional>
#include <map>
#include <platform/Transport.h>
#include <random>
#include <string>
#include <vector>

namespace sycamore::platform {

// Simulated platform with one object, "shardmap/layout". Loses calls and answers at random, and
// lets delayed writes arrive after later calls.
class LossyPlatform
{
public:
  explicit LossyPlatform(std::uint64_t seed)
    : random_(seed)
  {
  }

  HttpReply exchange(const HttpCall& call, base::TimePoint /*deadline*/)
  {
    maybeDeliverOne();
    switch (random_() % 8) {
      case 0:
        throw TransportError("never sent", false);
      case 1:
        throw TransportError("lost on the way there", true);
      case 2:
        execute(call);
        throw TransportError("lost on the way back", true);
      case 3:
        delayedWrites_.push_back(call);
        throw TransportError("late", true);
      case 4:
        return { 429, "" };
      default:
        return execute(call);
    }
  }

  // Delivers all delayed writes.
  void deliverAll()
  {
    for (const HttpCall& call : delayedWrites_) {
      execute(call);
    }
    delayedWrites_.clear();
  }

  // Returns the versions that writes with the token created.
  std::vector<std::uint64_t> versionsOf(const std::string& token) const
  {
    const auto found = versionsByToken_.find(token);
    return found == versionsByToken_.end() ? std::vector<std::uint64_t>() : found->second;
  }

  std::uint64_t currentVersion() const
  {
    const nlohmann::json object = table_.get("shardmap", "layout");
    return object.is_null() ? 0 : object.at("version").get<std::uint64_t>();
  }

private:
  void maybeDeliverOne()
  {
    if (!delayedWrites_.empty() && random_() % 3 == 0) {
      const std::size_t index = random_() % delayedWrites_.size();
      const HttpCall call = delayedWrites_[index];
      delayedWrites_.erase(delayedWrites_.begin() + static_cast<std::ptrdiff_t>(index));
      execute(call);
    }
  }

  HttpReply execute(const HttpCall& call)
  {
    if (call.method == "GET") {
      const nlohmann::json object = table_.get("shardmap", "layout");
      return object.is_null() ? HttpReply{ 404, "" } : HttpReply{ 200, object.dump() };
    }
    const std::uint64_t expected = std::stoull(call.target.substr(call.target.rfind('=') + 1));
    const auto value = nlohmann::json::parse(call.body);
    const auto result = table_.put("shardmap", "layout", expected, value);
    if (!result.isApplied) {
      return { 409, result.object.dump() };
    }
    const auto version = result.object.at("version").get<std::uint64_t>();
    versionsByToken_[value.at("writer")].push_back(version);
    return { 200, nlohmann::json{ { "version", version } }.dump() };
  }

  std::mt19937_64 random_;
  platform_stub::ObjectTable table_;
  std::vector<HttpCall> delayedWrites_;
  std::map<std::string, std::vector<std::uint64_t>> versionsByToken_;
};

static_assert(Transport<LossyPlatform>);

} // namespace sycamore::platform
