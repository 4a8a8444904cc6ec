#pragma once

#include "Store.h"

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

// A small deployment: the store, instances and processes of sycamore-entry on loopback addresses.
namespace review {

// The record of a run: what was sent, answered and run, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& path)
    : file_(path)
    , start_(Clock::now())
  {
  }

  void write(const std::string& line)
  {
    const std::lock_guard lock(mutex_);
    const double at = std::chrono::duration<double>(Clock::now() - start_).count();
    char text[32];
    std::snprintf(text, sizeof text, "%8.3f  ", at);
    file_ << text << line << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

inline void pause(int milliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

struct InstanceSettings
{
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  unsigned slots = 2;
  bool isSharded = false;
};

// A sound instance. The time that a request takes comes in its header Work-Ms.
class Instance
{
public:
  // Changes the bytes of an answer before they are sent.
  using Spoil = std::function<std::string(const Message& request, std::string answer)>;

  Instance(Store& store, Record& record, InstanceSettings settings)
    : store_(store)
    , record_(record)
    , settings_(std::move(settings))
    , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
    , server_(
        settings_.ip,
        [this](const Message& request, int connection) { return handle(request, connection); })
    , beat_([this] { beat(); })
  {
  }

  ~Instance()
  {
    stops_ = true;
    beat_.join();
  }

  const std::string& id() const { return settings_.id; }
  // Reports that the instance drains, and waits until the store has accepted that.
  void drain()
  {
    state_ = "draining";
    record_.write(settings_.id + " reports draining");
    writeEntry();
  }
  void setSpoil(Spoil spoil)
  {
    const std::lock_guard lock(mutex_);
    spoil_ = std::move(spoil);
  }

  // Answers an order in place of the instance: nothing if it leaves that to the instance.
  using Intercept = std::function<std::optional<std::string>(const Message& order, int connection)>;
  void setIntercept(Intercept intercept)
  {
    const std::lock_guard lock(mutex_);
    intercept_ = std::move(intercept);
  }
  // Whether answers to orders carry the order's Request-Id.
  void setEchoesOrderIds(bool echoes) { echoesOrderIds_ = echoes; }

  // Carries out a grant that arrives now and gets no answer: later, for the rest of its time.
  void applyLate(const Message& order, int delayMs)
  {
    const Grant grant = grantOf(Json::parse(order.body));
    std::thread([this, grant, delayMs, body = order.body] {
      pause(delayMs);
      const std::lock_guard lock(mutex_);
      if (Clock::now() >= grant.until) {
        return;
      }
      for (std::size_t key = grant.from; key <= grant.to; ++key) {
        if (!holds(key)) {
          take(key, grant);
        }
      }
      record_.write(settings_.id + " carries out, " + std::to_string(delayMs) +
                    " ms after its arrival, the grant " + body);
    }).detach();
  }

  struct Held
  {
    bool holds = false;
    std::uint64_t fence = 0;
  };
  // Whether the instance holds the key now, and the generation with which it last took it.
  Held held(std::size_t key) const
  {
    const std::lock_guard lock(mutex_);
    return { holds(key), keys_[key].fence };
  }

  // Number of answers sent so far, and whether a request has been begun.
  std::size_t answers() const { return answers_; }
  bool hasRun(const std::string& requestId) const
  {
    const std::lock_guard lock(mutex_);
    return begun_.contains(requestId);
  }
  // Number of keys that the instance holds now.
  std::size_t heldKeys() const
  {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (std::size_t key = 0; key < keys_.size(); ++key) {
      count += holds(key) ? 1 : 0;
    }
    return count;
  }

private:
  struct Key
  {
    std::uint64_t fence = 0;
    std::uint64_t highestFence = 0;
    Clock::time_point until{};
    unsigned atWork = 0;
  };

  struct Grant
  {
    std::size_t from;
    std::size_t to;
    std::uint64_t fence;
    Clock::time_point until;
  };

  // Returns a grant that arrives now.
  static Grant grantOf(const Json& body)
  {
    const auto time = std::chrono::duration<double>(body["hold_s"].get<double>());
    return { body["from"],
             body["to"],
             body["fence"],
             Clock::now() + std::chrono::duration_cast<Clock::duration>(time) };
  }

  bool holds(std::size_t key) const { return Clock::now() < keys_[key].until; }

  void take(std::size_t key, const Grant& grant)
  {
    keys_[key].fence = grant.fence;
    keys_[key].highestFence = std::max(keys_[key].highestFence, grant.fence);
    keys_[key].until = grant.until;
  }

  void beat()
  {
    while (!stops_) {
      writeEntry();
      for (int i = 0; i < 8 && !stops_; ++i) {
        pause(100);
      }
    }
  }

  void writeEntry()
  {
    store_.put(
      "servers",
      settings_.id,
      { { "address", settings_.ip + ":" + std::to_string(server_.port()) },
        { "born", born_ },
        { "info",
          { { "service", settings_.service },
            { "version", "v1" },
            { "zone", settings_.zone },
            { "slots", settings_.slots } } },
        { "status", { { "state", state_ }, { "seq", ++seq_ }, { "warmup_left_s", 0 } } } });
  }

  std::optional<std::string> handle(const Message& request, int connection)
  {
    Intercept intercept;
    Spoil spoil;
    {
      const std::lock_guard lock(mutex_);
      intercept = intercept_;
      spoil = spoil_;
    }
    ++answers_;
    if (intercept) {
      if (auto answer = intercept(request, connection)) {
        return answer;
      }
    }
    std::string answer = answerTo(request);
    return spoil ? spoil(request, std::move(answer)) : answer;
  }

  std::string answerTo(const Message& request)
  {
    const std::string target = request.header("target-instance");
    const std::string requestId = request.header("request-id");
    const std::string echo = requestId.empty() ? "" : "Request-Id: " + requestId + "\r\n";
    if (!target.empty() && target != settings_.id) {
      return answerText(421, echo + "Not-Executed: 1\r\nInstance-Id: " + settings_.id + "\r\n", "");
    }
    const std::string path = request.word(1);
    if (path == "/v1/grant" || path == "/v1/release") {
      const std::string orderEcho = echoesOrderIds_ ? echo : "";
      return path == "/v1/grant" ? grant(request, orderEcho) : release(request, orderEcho);
    }
    if (path == "/healthz") {
      return answerText(200, "Instance-Id: " + settings_.id + "\r\n" + loadHeader(), "");
    }
    return run(request, echo);
  }

  std::string loadHeader() const
  {
    return "Instance-Load: " + std::to_string(running_.size()) + ",0," +
           std::to_string(settings_.slots) + ",100\r\n";
  }

  std::string grant(const Message& request, const std::string& echo)
  {
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return answerText(400, echo, "");
    }
    const Grant grant = grantOf(body);
    const std::lock_guard lock(mutex_);
    for (std::size_t key = grant.from; key <= grant.to; ++key) {
      if (keys_[key].highestFence > grant.fence) {
        return answerText(409, echo, "");
      }
    }
    for (std::size_t key = grant.from; key <= grant.to; ++key) {
      take(key, grant);
    }
    if (std::exchange(granted_[{ grant.from, grant.to }], grant.fence) != grant.fence) {
      record_.write(settings_.id + " is granted " + request.body);
    }
    return answerText(200, echo, "");
  }

  std::string release(const Message& request, const std::string& echo)
  {
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return answerText(400, echo, "");
    }
    const std::size_t from = body["from"];
    const std::size_t to = body["to"];
    const std::uint64_t fence = body["fence"];
    record_.write(settings_.id + " is asked to release " + request.body);
    bool isAtWork = true;
    while (isAtWork) {
      isAtWork = false;
      const std::lock_guard lock(mutex_);
      for (std::size_t key = from; key <= to; ++key) {
        keys_[key].until = {};
        keys_[key].highestFence = std::max(keys_[key].highestFence, fence);
        isAtWork = isAtWork || keys_[key].atWork > 0;
      }
      if (isAtWork) {
        pauseUnlocked_();
      }
    }
    char token[32];
    std::snprintf(token, sizeof token, "%016llx", static_cast<unsigned long long>(++tokens_));
    return answerText(200, echo + "Handover: " + token + "\r\n", "");
  }

  std::string run(const Message& request, const std::string& echo)
  {
    const std::string requestId = request.header("request-id");
    const std::string key = request.header("shard-key");
    const auto number = static_cast<std::size_t>(std::atoi(key.c_str()));
    {
      const std::lock_guard lock(mutex_);
      if (settings_.isSharded && (key.empty() || !holds(number))) {
        return answerText(421, echo + "Not-Executed: 1\r\n" + loadHeader(), "");
      }
      if (running_.size() >= settings_.slots) {
        return answerText(503, echo + "Not-Executed: 1\r\n" + loadHeader(), "");
      }
      running_.insert(requestId);
      begun_.insert(requestId);
      ++keys_[number].atWork;
    }
    record_.write(settings_.id + " runs " + requestId + " " + request.startLine);
    pause(std::atoi(request.header("work-ms").c_str()));
    const std::lock_guard lock(mutex_);
    running_.erase(requestId);
    --keys_[number].atWork;
    return answerText(
      200, echo + "Response-Signature: 3e1b." + requestId + "\r\n" + loadHeader(), "done");
  }

  // Called with the mutex held; lets others proceed for a moment.
  void pauseUnlocked_()
  {
    mutex_.unlock();
    pause(1);
    mutex_.lock();
  }

  Store& store_;
  Record& record_;
  InstanceSettings settings_;
  std::int64_t born_;
  mutable std::mutex mutex_;
  std::vector<Key> keys_{ 65536 };
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> granted_;
  std::set<std::string> running_;
  std::set<std::string> begun_;
  Spoil spoil_;
  Intercept intercept_;
  std::atomic<bool> echoesOrderIds_{ true };
  std::atomic<std::uint64_t> tokens_{ 0x5c0e7a2100000000ULL };
  std::atomic<std::size_t> answers_{ 0 };
  std::atomic<const char*> state_{ "ready" };
  std::atomic<unsigned> seq_{ 0 };
  std::atomic<bool> stops_{ false };
  Server server_;
  std::thread beat_;
};

struct EntrySettings
{
  std::string name;
  std::string ip;
  std::string zone;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t internal = 0;
  std::uint16_t store = 0;
  std::string storeIp;
};

// A process of sycamore-entry, started with the command of the deploy file.
class EntryVm
{
public:
  EntryVm(EntrySettings settings, const std::string& folder)
    : settings_(std::move(settings))
    , file_(folder + "/" + settings_.name + ".json")
    , log_(folder + "/" + settings_.name + ".log")
  {
    const auto at = [this](std::uint16_t port) {
      return settings_.ip + ":" + std::to_string(port);
    };
    const Json json{
      { "node", settings_.name },
      { "role", "entry" },
      { "machine_class", "front" },
      { "serves", { "front" } },
      { "ip", settings_.ip },
      { "zone", settings_.zone },
      { "region", "norte" },
      { "zones", { { settings_.zone, "norte" } } },
      { "listen",
        { { "front", at(settings_.front) },
          { "ready", at(settings_.ready) },
          { "control", at(settings_.control) } } },
      { "internal_ports", { settings_.internal, settings_.internal + 15 } },
      { "seeds", { at(settings_.control) } },
      { "bootstrap", true },
      { "limits",
        { { "cpu_share", 0.2 },
          { "cores", 1 },
          { "memory_mb", 260 },
          { "max_fds", 4100 },
          { "link_mbps", 1000.0 },
          { "disk_mb", 0 } } },
      { "data_dir", nullptr },
      { "discovery", "platform" },
      { "entry", "vip" },
      { "heartbeat_s", 0.87 },
      { "contracts",
        { "base", "drain", "config", "cost", "retry", "recover", "own", "places", "platform" } },
      { "tolerate", { { "machines", 2 }, { "zones", 1 }, { "regions", 0 } } },
      { "bounds",
        { "contact_s=3",
          "ack_s=4",
          "drain_s=2",
          "grace_s=6",
          "config_apply_s=2",
          "max_stretch_s=5",
          "evacuate_s=5",
          "retry_budget_ratio=0.2",
          "budget_window_s=10",
          "budget_slack=60",
          "warmup_slack=5",
          "warmup_overshoot=1.5",
          "rollback_slack_s=0.25",
          "hold_max_s=10",
          "recovery_s=15",
          "freeze_slack_s=0.3" } },
      { "grants", "dispatch" },
      { "platform",
        { { "address", settings_.storeIp + ":" + std::to_string(settings_.store) },
          { "form", "objects" },
          { "writes_per_s", 400 },
          { "reads_per_s", 2000 },
          { "history_s", 20 },
          { "value_bytes", 1048576 },
          { "ttl_min_s", 1 } } }
    };
    std::ofstream(file_) << json.dump(2);
  }

  ~EntryVm() { end(); }

  const EntrySettings& settings() const { return settings_; }

  // Starts the process in the repository's root, which is the current folder.
  void start()
  {
    const std::string variable = "SYCAMORESHELF_NODE_FILE=" + file_;
    const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    process_ = ::fork();
    if (process_ == 0) {
      // Ends with the stand-ins, however these end.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      const char* const program = "target/programs/sycamore-entry/sycamore-entry";
      const char* const arguments[] = { program, "--metrics_port=9464", nullptr };
      const char* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
      ::execve(program, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
      ::_exit(127);
    }
    ::close(log);
    ended_.clear();
  }

  // Returns a text that tells how the process has ended; empty while it runs.
  std::string howEnded()
  {
    int status = 0;
    if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
      process_ = -1;
      ended_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit status " + std::to_string(WEXITSTATUS(status));
    }
    return ended_;
  }

  void signal(int number) const
  {
    if (process_ > 0) {
      ::kill(process_, number);
    }
  }

  void end()
  {
    if (howEnded().empty() && process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
      process_ = -1;
    }
  }

  bool isReady() const
  {
    Socket socket = connectTo(settings_.ip, settings_.ready);
    Message answer;
    return socket.isOpen() && socket.write("GET /v1/readyz HTTP/1.1\r\nHost: platform\r\n\r\n") &&
           socket.read(answer, Clock::now() + std::chrono::seconds(1)) && answer.status() == 200;
  }

  // Last lines of what the process has written to standard error.
  std::string lastErrors() const
  {
    std::ifstream file(log_);
    std::string line;
    std::string errors;
    while (std::getline(file, line)) {
      if (!line.empty() && line.front() != '{') {
        errors += line + "\n";
      }
    }
    return errors;
  }

private:
  EntrySettings settings_;
  std::string file_;
  std::string log_;
  pid_t process_ = -1;
  std::string ended_;
};

// Addresses of one run. The number of the process keeps runs at the same time apart.
inline std::string loopback(unsigned last)
{
  const unsigned process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + process % 128) + "." + std::to_string(process / 128 % 254) +
         "." + std::to_string(last);
}

struct Route
{
  std::string name;
  std::string host;
  std::string service;
  const char* type = "safe";
  double timeout = 5;
};

// Returns a config as the operator writes it.
inline Json configOf(unsigned version,
                     const std::vector<Route>& routes,
                     const std::string& shardedService,
                     unsigned headerBytes = 16384)
{
  Json json{ { "version", version },
             { "routes", Json::object() },
             { "services", Json::object() },
             { "limits",
               { { "max_header_bytes", headerBytes },
                 { "max_body_bytes", 67108864 },
                 { "header_timeout_s", 3 },
                 { "idle_timeout_s", 15 } } } };
  for (const Route& route : routes) {
    json["routes"][route.name] = { { "host", route.host },
                                   { "path_prefix", "/a/" },
                                   { "route_type", route.type },
                                   { "timeout_s", route.timeout },
                                   { "target_latency_s", route.timeout / 2 },
                                   { "priority", 0 },
                                   { "service", route.service },
                                   { "attempts", 2 } };
    Json service{ { "health_check", "/healthz" },
                  { "max_connections", 120 },
                  { "protocol", "h1" },
                  { "tls", false },
                  { "warmup_s", 3.0 },
                  { "warmup_rate_s", 10.0 } };
    if (route.service == shardedService) {
      service["sharded"] = true;
      service["warm_s"] = 3.0;
      service["grants"] = "dispatch";
    }
    json["services"][route.service] = service;
  }
  return json;
}

inline std::string nextRequestId()
{
  static std::atomic<unsigned long long> number{ 0 };
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", 0x9c41d07b00000000ULL + ++number);
  return text;
}

} // namespace review
