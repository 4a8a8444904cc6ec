#pragma once

#include "Store.h"

namespace review {

constexpr int kKeys = 65536;

// Stand-in for one instance of a service. Keys are held as the pages describe: a grant is refused
// with 409 if a higher generation number was seen on one of its keys, its time runs from the
// arrival of the call, a release stops new work at once and is answered when the work on its keys
// has ended.
class Server
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 4;
    bool keyed = false;
    double heartbeatSeconds = 0.87;
    // Whether the instance never answers a request for which it has no slot, nor any later one on
    // that connection. Otherwise it refuses such a request with 503.
    bool silentWhenFull = false;
  };
  struct Hold
  {
    std::uint64_t fence = 0;
    Clock::time_point until{};
  };
  struct Run
  {
    std::string requestId;
    int key = -1;
    std::uint64_t fence = 0;
  };

  Server(Store& store, Record& record, Options options)
    : store_(store)
    , record_(record)
    , options_(std::move(options))
  {
    start();
    beating_ = std::thread([this] { beat(); });
  }
  ~Server()
  {
    ended_ = true;
    beating_.join();
    crash();
  }

  const Options& options() const { return options_; }

  // Starts the process: a new life that knows nothing of the earlier one, at the same address.
  void start()
  {
    {
      const std::lock_guard lock(mutex_);
      born_ = unixMilliseconds();
      seq_ = 0;
      draining_ = false;
      holds_.assign(kKeys, {});
      seen_.assign(kKeys, 0);
      running_.clear();
      up_ = true;
    }
    listening_ =
      std::make_unique<Listening>("127.0.0.1", port_, [this](Channel& channel) { serve(channel); });
    port_ = listening_->port();
    record_.line("server-starts", { { "id", options_.id }, { "born", born_ } });
    publish();
  }

  // Ends the process without notice.
  void crash()
  {
    {
      const std::lock_guard lock(mutex_);
      if (!up_) {
        return;
      }
      up_ = false;
    }
    listening_->stop();
    listening_.reset();
    record_.line("server-ends", { { "id", options_.id }, { "born", born_ } });
  }

  void drain()
  {
    {
      const std::lock_guard lock(mutex_);
      draining_ = true;
    }
    publish();
  }

  // Returns the hold of each key at this moment; empty if the instance isn't up.
  std::vector<Hold> holds()
  {
    const std::lock_guard lock(mutex_);
    return up_ ? holds_ : std::vector<Hold>{};
  }
  std::vector<Run> running()
  {
    const std::lock_guard lock(mutex_);
    return running_;
  }
  std::size_t heldKeys()
  {
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    return static_cast<std::size_t>(
      std::count_if(holds_.begin(), holds_.end(), [now](const Hold& h) { return h.until > now; }));
  }
  std::int64_t born() const { return born_; }

  // Called for each complete answer to a call of the router (grant, release) with the path of the
  // call. Returns bytes that are sent when the next call arrives on the same connection, before it
  // is handled.
  std::function<std::string(const std::string& path, const std::string& answer)> lateBytes;

  // Called when a grant has been taken, with the instance's lock held.
  std::function<void(int from, int to, std::uint64_t fence)> onGrantTaken;

  // Called for each grant that has passed the check of its generation number. If it returns a time
  // in seconds, the grant gets no answer and is carried out that long after its arrival, also after
  // newer grants; its hold counts from its arrival.
  std::function<std::optional<double>(int from, int to)> lateGrant;

  // Called when a late grant is carried out, with the instance's lock held.
  std::function<void(int from, int to, std::uint64_t fence)> onLateGrantTaken;

  // Number of answers given so far, to calls and requests.
  int answers() const { return answers_; }

  // Number of runs of each request id, over all lives.
  std::map<std::string, int> runs()
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

private:
  void publish()
  {
    Json entry;
    Json status;
    {
      const std::lock_guard lock(mutex_);
      if (!up_) {
        return;
      }
      entry = { { "address", "127.0.0.1:" + std::to_string(port_) },
                { "born", born_ },
                { "info",
                  { { "service", options_.service },
                    { "version", "v1" },
                    { "zone", options_.zone },
                    { "slots", options_.slots } } } };
      status = { { "state", draining_ ? "draining" : "ready" },
                 { "seq", ++seq_ },
                 { "warmup_left_s", 0 } };
    }
    store_.put("servers", options_.id, std::move(entry), std::move(status));
  }

  void beat()
  {
    auto next = after(options_.heartbeatSeconds);
    while (!ended_) {
      sleepFor(0.02);
      if (Clock::now() >= next) {
        next = after(options_.heartbeatSeconds);
        publish();
      }
      carryOutLateGrants();
    }
  }

  void carryOutLateGrants()
  {
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    for (const LateGrant& grant : lateGrants_) {
      if (grant.dueAt > now || grant.until <= now || !up_) {
        continue;
      }
      for (int key = grant.from; key <= grant.to; ++key) {
        Hold& held = holds_[static_cast<std::size_t>(key)];
        if (held.until <= now) {
          held = { grant.fence, grant.until };
        }
      }
      record_.line("late-grant-carried-out",
                   { { "server", options_.id },
                     { "from", grant.from },
                     { "to", grant.to },
                     { "fence", grant.fence } });
      if (onLateGrantTaken) {
        onLateGrantTaken(grant.from, grant.to, grant.fence);
      }
    }
    std::erase_if(lateGrants_, [now](const LateGrant& grant) { return grant.dueAt <= now; });
  }

  void serve(Channel& channel)
  {
    Message request;
    std::string late;
    while (channel.read(request)) {
      if (!late.empty()) {
        record_.line("late-answer", { { "server", options_.id }, { "before", request.firstLine } });
        if (!channel.write(late)) {
          return;
        }
        late.clear();
      }
      const std::string path = request.word(1);
      const std::string answer = handle(request, channel);
      if (answer.empty() || !channel.write(answer)) {
        return;
      }
      ++answers_;
      if (lateBytes && path.rfind("/v1/", 0) == 0) {
        late = lateBytes(path, answer);
      }
    }
  }

  std::string handle(const Message& request, Channel& channel)
  {
    const std::string path = request.word(1);
    const std::string own = "Instance-Id: " + options_.id + "\r\n";
    if (path == "/healthz") {
      return answerText(200, "", own);
    }
    const std::string target = request.header("Target-Instance");
    if (!target.empty() && target != options_.id) {
      return answerText(421, "", own + "Not-Executed: 1\r\n");
    }
    if (path == "/v1/grant") {
      return grant(Json::parse(request.body), channel);
    }
    if (path == "/v1/release") {
      return release(Json::parse(request.body), channel);
    }
    return run(request, channel);
  }

  std::string grant(const Json& order, const Channel& channel)
  {
    const int from = order.at("from");
    const int to = order.at("to");
    const std::uint64_t fence = order.at("fence");
    const double hold = order.at("hold_s");
    const auto delay = lateGrant ? lateGrant(from, to) : std::nullopt;
    if (delay) {
      record_.line(
        "grant-unanswered",
        { { "server", options_.id }, { "from", from }, { "to", to }, { "fence", fence } });
      {
        const std::lock_guard lock(mutex_);
        lateGrants_.push_back({ from, to, fence, after(*delay), after(hold) });
      }
      while (!channel.peerHasLeft() && up_) {
        sleepFor(0.005);
      }
      return "";
    }
    const std::lock_guard lock(mutex_);
    for (int key = from; key <= to; ++key) {
      if (seen_[static_cast<std::size_t>(key)] > fence) {
        return answerText(409, "");
      }
    }
    const auto until = after(hold);
    bool isNew = false;
    for (int key = from; key <= to; ++key) {
      Hold& held = holds_[static_cast<std::size_t>(key)];
      isNew = isNew || held.fence != fence || held.until <= Clock::now();
      held = { fence, until };
      seen_[static_cast<std::size_t>(key)] = fence;
    }
    if (isNew) {
      record_.line("grant-taken",
                   { { "server", options_.id },
                     { "born", born_ },
                     { "from", from },
                     { "to", to },
                     { "fence", fence },
                     { "hold_s", hold } });
    }
    if (onGrantTaken) {
      onGrantTaken(from, to, fence);
    }
    return answerText(200, "");
  }

  std::string release(const Json& order, Channel& channel)
  {
    const int from = order.at("from");
    const int to = order.at("to");
    const std::uint64_t fence = order.at("fence");
    {
      const std::lock_guard lock(mutex_);
      for (int key = from; key <= to; ++key) {
        Hold& held = holds_[static_cast<std::size_t>(key)];
        if (held.fence <= fence) {
          held.until = {};
        }
        auto& seen = seen_[static_cast<std::size_t>(key)];
        seen = std::max(seen, fence);
      }
    }
    record_.line("release-arrives",
                 { { "server", options_.id }, { "from", from }, { "to", to }, { "fence", fence } });
    while (isWorkingOn(from, to) && !channel.peerHasLeft()) {
      sleepFor(0.005);
    }
    record_.line("release-answered",
                 { { "server", options_.id }, { "from", from }, { "to", to }, { "fence", fence } });
    return answerText(200, "", "Handover: " + std::to_string(fence) + options_.id + "\r\n");
  }

  bool isWorkingOn(int from, int to)
  {
    const std::lock_guard lock(mutex_);
    return std::any_of(running_.begin(), running_.end(), [&](const Run& run) {
      return run.key >= from && run.key <= to;
    });
  }

  // Runs a request for the time that the last part of its path names in milliseconds.
  std::string run(const Message& request, const Channel& channel)
  {
    const std::string id = request.header("Request-Id");
    if (id.empty()) {
      return answerText(400, "", "Not-Executed: 1\r\n");
    }
    const std::string echoed = "Request-Id: " + id + "\r\n";
    const std::string path = request.word(1);
    const double work = std::stod("0" + path.substr(path.rfind('/') + 1)) / 1000;
    std::int64_t life = 0;
    bool isFull = false;
    Run current{ id, -1, 0 };
    {
      const std::lock_guard lock(mutex_);
      if (options_.keyed) {
        const std::string key = request.header("Shard-Key");
        const auto number = key.empty() ? kKeys : std::stoi(key);
        if (number >= kKeys || holds_[static_cast<std::size_t>(number)].until <= Clock::now()) {
          return answerText(421, "", echoed + "Not-Executed: 1\r\n");
        }
        current.key = number;
        current.fence = holds_[static_cast<std::size_t>(number)].fence;
      }
      isFull = static_cast<int>(running_.size()) >= options_.slots;
      if (isFull && !options_.silentWhenFull) {
        return answerText(503, "", echoed + "Not-Executed: 1\r\n" + load());
      }
    }
    if (isFull) {
      record_.line("run-not-begun", { { "server", options_.id }, { "id", id } });
      while (!channel.peerHasLeft() && up_) {
        sleepFor(0.005);
      }
      return "";
    }
    {
      const std::lock_guard lock(mutex_);
      running_.push_back(current);
      ++runs_[id];
      life = born_;
    }
    record_.line("run-begins", { { "server", options_.id }, { "id", id }, { "key", current.key } });
    const auto until = after(work);
    bool isAborted = false;
    while (Clock::now() < until && !isAborted) {
      sleepFor(std::min(0.005, work));
      isAborted = channel.peerHasLeft();
    }
    std::string loadHeader;
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(running_, [&](const Run& run) { return run.requestId == id; });
      loadHeader = load();
    }
    record_.line(isAborted ? "run-aborted" : "run-ends",
                 { { "server", options_.id }, { "id", id }, { "life", life } });
    return isAborted ? ""
                     : answerText(200,
                                  "body of " + id,
                                  echoed + loadHeader + "Response-Signature: s." + id + "\r\n",
                                  "OK");
  }

  // The lock is held.
  std::string load() const
  {
    return "Instance-Load: " + std::to_string(running_.size()) + ",0," +
           std::to_string(options_.slots) + "\r\n";
  }

  struct LateGrant
  {
    int from = 0;
    int to = 0;
    std::uint64_t fence = 0;
    Clock::time_point dueAt;
    Clock::time_point until;
  };

  Store& store_;
  Record& record_;
  Options options_;
  std::mutex mutex_;
  std::int64_t born_ = 0;
  std::uint64_t seq_ = 0;
  bool draining_ = false;
  std::atomic<bool> up_{ false };
  int port_ = 0;
  std::vector<Hold> holds_;
  std::vector<std::uint64_t> seen_;
  std::vector<Run> running_;
  std::map<std::string, int> runs_;
  std::vector<LateGrant> lateGrants_;
  std::atomic<bool> ended_{ false };
  std::atomic<int> answers_{ 0 };
  std::unique_ptr<Listening> listening_;
  std::thread beating_;
};

} // namespace review
