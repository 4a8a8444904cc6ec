#pragma once

#include "Http.h"

#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

// The platform's metadata store, as PROTOCOL.md tells it.
class Store
{
public:
  // The counter of revisions starts at `revision`.
  Store(const std::string& ip, std::uint64_t revision)
    : revision_(revision)
    , server_(ip, [this](const Message& request, int) { return handle(request); })
  {
  }

  std::uint64_t revision()
  {
    const std::lock_guard lock(mutex_);
    return revision_;
  }

  std::uint16_t port() const { return server_.port(); }

  // Writes an object as the operator or an instance does.
  void put(const std::string& kind, const std::string& name, const Json& spec)
  {
    const std::lock_guard lock(mutex_);
    store(kind, name, spec, nullptr);
  }

  void remove(const std::string& kind, const std::string& name)
  {
    const std::lock_guard lock(mutex_);
    erase(kind, name);
  }

  // Returns the object; null if there is none.
  Json get(const std::string& kind, const std::string& name)
  {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? Json() : found->second;
  }

private:
  struct Event
  {
    std::uint64_t revision;
    std::string kind;
    Json object;
    bool deleted;
  };

  static std::string query(const std::string& target, const std::string& name)
  {
    const std::size_t mark = target.find('?');
    std::size_t at = mark == std::string::npos ? std::string::npos : target.find(name + "=", mark);
    if (at == std::string::npos) {
      return {};
    }
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
  }

  static std::string json(int status, const Json& body)
  {
    return answerText(status, "Content-Type: application/json\r\n", body.dump());
  }

  void store(const std::string& kind, const std::string& name, const Json& spec, const Json& status)
  {
    Json& object = objects_[kind][name];
    const bool isNew = object.is_null();
    if (!isNew && object["spec"] == spec && object["status"] == status) {
      return;
    }
    ++revision_;
    const Json created = isNew ? Json(revision_) : object["metadata"]["created"];
    object = { { "metadata",
                 { { "name", name },
                   { "revision", revision_ },
                   { "created", created },
                   { "finalizers", Json::array() },
                   { "deleting", false } } },
               { "spec", spec },
               { "status", status } };
    record(kind, object, false);
  }

  void erase(const std::string& kind, const std::string& name)
  {
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
      return;
    }
    ++revision_;
    Json object = found->second;
    object["metadata"]["revision"] = revision_;
    objects_[kind].erase(found);
    record(kind, object, true);
  }

  void record(const std::string& kind, const Json& object, bool deleted)
  {
    events_.push_back({ revision_, kind, object, deleted });
    changed_.notify_all();
  }

  std::string handle(const Message& request)
  {
    const std::string method = request.word(0);
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/v1/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return json(404, Json::object());
    }
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    std::unique_lock lock(mutex_);
    if (method == "GET" && name.empty()) {
      const std::string from = query(target, "watch");
      return from.empty() ? list(kind, query(target, "after"))
                          : watch(lock, kind, std::stoull(from), query(target, "wait_ms"));
    }
    if (method == "GET") {
      const auto found = objects_[kind].find(name);
      return found == objects_[kind].end() ? json(404, Json::object()) : json(200, found->second);
    }
    const Json body = Json::parse(request.body, nullptr, false);
    return write(method, kind, name, body);
  }

  std::string write(const std::string& method,
                    const std::string& kind,
                    std::string name,
                    const Json& body)
  {
    if (!body.is_object() || !body.contains("metadata")) {
      return json(400, Json::object());
    }
    if (method == "POST") {
      name = body["metadata"].value("name", "");
    }
    const auto found = objects_[kind].find(name);
    if (method == "POST" && found != objects_[kind].end()) {
      return json(409, found->second);
    }
    if (method == "PUT") {
      if (found == objects_[kind].end()) {
        return json(404, Json::object());
      }
      const Json& metadata = body["metadata"];
      if (metadata.contains("revision") &&
          metadata["revision"] != found->second["metadata"]["revision"]) {
        return json(409, found->second);
      }
    }
    store(kind, name, body.value("spec", Json()), nullptr);
    return json(method == "POST" ? 201 : 200, objects_[kind][name]);
  }

  std::string list(const std::string& kind, const std::string& after)
  {
    Json items = Json::array();
    for (const auto& [name, object] : objects_[kind]) {
      if (name > after) {
        items.push_back(object);
      }
    }
    return json(200,
                { { "items", items }, { "has_more", false }, { "store_revision", revision_ } });
  }

  std::string watch(std::unique_lock<std::mutex>& lock,
                    const std::string& kind,
                    std::uint64_t from,
                    const std::string& wait)
  {
    const auto until = Clock::now() + std::chrono::milliseconds(std::atoll(wait.c_str()));
    Json events = Json::array();
    for (;;) {
      for (const Event& event : events_) {
        if (event.kind == kind && event.revision > from) {
          events.push_back({ { "object", event.object }, { "deleted", event.deleted } });
        }
      }
      if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
        return json(200, { { "events", events }, { "store_revision", revision_ } });
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::deque<Event> events_;
  std::uint64_t revision_;
  // Last, since its threads use the other members.
  Server server_;
};

} // namespace review
