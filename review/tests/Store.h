#pragma once

#include "Http.h"

#include <condition_variable>
#include <deque>
#include <optional>

namespace review {

// Stand-in for the platform's store: objects by kind and name, one revision counter, lists,
// watches, conditional writes. It answers at once and forgets nothing.
class Store
{
public:
  explicit Store(Record& record)
    : record_(record)
    , listening_("127.0.0.1", 0, [this](Channel& channel) { serve(channel); })
  {
  }
  ~Store()
  {
    stopped_ = true;
    changed_.notify_all();
    listening_.stop();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(listening_.port()); }

  // Writes an object as the operator and the instances do. Returns the revision.
  std::uint64_t put(const std::string& kind, const std::string& name, Json spec, Json status)
  {
    const std::lock_guard lock(mutex_);
    Json object = newObject(kind, name);
    object["spec"] = std::move(spec);
    object["status"] = std::move(status);
    return commit(kind, name, std::move(object), false);
  }

  void remove(const std::string& kind, const std::string& name)
  {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end()) {
      const Json object = found->second;
      commit(kind, name, object, true);
    }
  }

  std::optional<Json> get(const std::string& kind, const std::string& name)
  {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? std::nullopt : std::optional(found->second);
  }

  // Changes the bytes of each answer that lists or watches a kind, before they are sent.
  std::function<void(const std::string& kind, std::string& body)> onBody;

private:
  struct Event
  {
    std::uint64_t revision = 0;
    std::string kind;
    Json object;
    bool deleted = false;
  };

  Json newObject(const std::string& kind, const std::string& name)
  {
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end()) {
      return found->second;
    }
    return Json{ { "metadata",
                   { { "name", name },
                     { "created", revision_ + 1 },
                     { "finalizers", Json::array() },
                     { "deleting", false } } },
                 { "spec", nullptr },
                 { "status", nullptr } };
  }

  // The lock is held.
  std::uint64_t commit(const std::string& kind, const std::string& name, Json object, bool deleted)
  {
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (!deleted && found != objects.end() && found->second.at("spec") == object.at("spec") &&
        found->second.at("status") == object.at("status")) {
      return found->second.at("metadata").at("revision").get<std::uint64_t>();
    }
    ++revision_;
    object["metadata"]["revision"] = revision_;
    if (deleted) {
      objects.erase(name);
    } else {
      objects[name] = object;
    }
    history_.push_back({ revision_, kind, std::move(object), deleted });
    changed_.notify_all();
    return revision_;
  }

  void serve(Channel& channel)
  {
    Message request;
    while (!stopped_ && channel.read(request)) {
      if (!channel.write(handle(request, channel))) {
        return;
      }
    }
  }

  std::string answer(int status, const Json& body, const std::string& kind = "")
  {
    std::string text = body.dump();
    if (onBody && !kind.empty()) {
      onBody(kind, text);
    }
    return answerText(status, text, "Content-Type: application/json\r\n");
  }

  std::string handle(const Message& request, Channel& channel)
  {
    const std::string method = request.word(0);
    const std::string target = request.word(1);
    const std::size_t question = target.find('?');
    std::string path = target.substr(0, question);
    std::map<std::string, std::string> query;
    std::string rest = question == std::string::npos ? "" : target.substr(question + 1);
    while (!rest.empty()) {
      const std::size_t end = rest.find('&');
      const std::string pair = rest.substr(0, end);
      query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    const std::string prefix = "/v1/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return answer(404, Json::object());
    }
    path = path.substr(prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (method == "GET" && name.empty()) {
      return query.contains("watch") ? watch(kind, query, channel) : list(kind, query["after"]);
    }
    const std::lock_guard lock(mutex_);
    auto& objects = objects_[kind];
    if (method == "GET") {
      const auto found = objects.find(name);
      return found == objects.end() ? answer(404, Json::object()) : answer(200, found->second);
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || (method != "POST" && method != "PUT")) {
      return answer(400, Json::object());
    }
    const std::string written = method == "POST" ? body.at("metadata").at("name") : Json(name);
    const auto found = objects.find(written);
    if (method == "POST" && found != objects.end()) {
      return answer(409, found->second);
    }
    if (method == "PUT" && found == objects.end()) {
      return answer(404, Json::object());
    }
    const Json metadata = body.value("metadata", Json::object());
    if (method == "PUT" && metadata.contains("revision") &&
        metadata["revision"] != found->second.at("metadata").at("revision")) {
      return answer(409, found->second);
    }
    Json object = newObject(kind, written);
    object["spec"] = body.value("spec", Json());
    commit(kind, written, object, false);
    record_.line("store-write",
                 { { "kind", kind }, { "name", written }, { "revision", revision_ } });
    return answer(200, objects.at(written));
  }

  std::string list(const std::string& kind, const std::string& after)
  {
    const std::lock_guard lock(mutex_);
    Json items = Json::array();
    for (const auto& [name, object] : objects_[kind]) {
      if (name > after) {
        items.push_back(object);
      }
    }
    return answer(
      200,
      { { "items", std::move(items) }, { "has_more", false }, { "store_revision", revision_ } },
      kind);
  }

  std::string watch(const std::string& kind,
                    std::map<std::string, std::string>& query,
                    Channel& channel)
  {
    const std::uint64_t from = std::stoull(query["watch"]);
    const auto until = after(query["wait_ms"].empty() ? 0 : std::stod(query["wait_ms"]) / 1000);
    std::unique_lock lock(mutex_);
    for (;;) {
      Json events = Json::array();
      for (const Event& event : history_) {
        if (event.revision > from && event.kind == kind) {
          events.push_back({ { "object", event.object }, { "deleted", event.deleted } });
        }
      }
      if (!events.empty() || Clock::now() >= until || stopped_ || channel.peerHasLeft()) {
        return answer(
          200, { { "events", std::move(events) }, { "store_revision", revision_ } }, kind);
      }
      changed_.wait_for(lock, std::chrono::milliseconds(50));
    }
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopped_{ false };
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::deque<Event> history_;
  Listening listening_;
};

} // namespace review
