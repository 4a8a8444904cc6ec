#pragma once

#include <ObjectTable.h>
#include <functional>
#include <map>
#include <platform/Transport.h>
#include <random>
#include <string>
#include <vector>

namespace sycamore::platform {

// A platform with one object, "shardmap/layout", that loses calls and answers at random, and lets
// lost writes arrive later, after other calls.
class LossyPlatform
{
public:
  explicit LossyPlatform(std::uint64_t seed)
    : random_(seed)
  {
  }

  HttpReply exchange(const HttpCall& call, base::TimePoint /*deadline*/)
  {
    deliverSome();
    switch (random_() % 8) {
      case 0:
        throw TransportError("never sent", false);
      case 1:
        throw TransportError("lost on the way there", true);
      case 2:
        perform(call);
        throw TransportError("lost on the way back", true);
      case 3:
        late_.push_back(call);
        throw TransportError("late", true);
      case 4:
        return { 429, "" };
      default:
        return perform(call);
    }
  }

  // Lets the late writes arrive.
  void deliverAll()
  {
    for (const HttpCall& call : late_) {
      perform(call);
    }
    late_.clear();
  }

  // The versions that a write with the token made.
  std::vector<std::uint64_t> versionsOf(const std::string& token) const
  {
    const auto found = written_.find(token);
    return found == written_.end() ? std::vector<std::uint64_t>() : found->second;
  }

  std::uint64_t currentVersion() const
  {
    const nlohmann::json object = table_.get("shardmap", "layout");
    return object.is_null() ? 0 : object.at("version").get<std::uint64_t>();
  }

private:
  void deliverSome()
  {
    if (!late_.empty() && random_() % 3 == 0) {
      const std::size_t index = random_() % late_.size();
      const HttpCall call = late_[index];
      late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(index));
      perform(call);
    }
  }

  HttpReply perform(const HttpCall& call)
  {
    if (call.method == "GET") {
      const nlohmann::json object = table_.get("shardmap", "layout");
      return object.is_null() ? HttpReply{ 404, "" } : HttpReply{ 200, object.dump() };
    }
    const std::uint64_t expected = std::stoull(call.target.substr(call.target.rfind('=') + 1));
    const auto value = nlohmann::json::parse(call.body);
    const auto result = table_.put("shardmap", "layout", expected, value);
    if (!result.done) {
      return { 409, result.object.dump() };
    }
    const auto version = result.object.at("version").get<std::uint64_t>();
    written_[value.at("writer")].push_back(version);
    return { 200, nlohmann::json{ { "version", version } }.dump() };
  }

  std::mt19937_64 random_;
  platform_stub::ObjectTable table_;
  std::vector<HttpCall> late_;
  std::map<std::string, std::vector<std::uint64_t>> written_;
};

static_assert(Transport<LossyPlatform>);

} // namespace sycamore::platform
