#include "ServerFleet.h"

#include <ServerTexts.h>
#include <StoreTexts.h>

#include <sys/prctl.h>
#include <sys/wait.h>

namespace sycamore::soak {

namespace {

constexpr Nanoseconds kEntryTimeout = seconds(2.6);
constexpr double kStartTimeout = 5;

} // namespace

ServerFleet::ServerFleet(review::Store& store, FaultProxy& proxy, std::string folder)
  : store_(store)
  , proxy_(proxy)
  , folder_(std::move(folder))
{
}

ServerFleet::~ServerFleet()
{
  for (const auto& life : lives_) {
    kill(*life);
  }
}

ServerLife& ServerFleet::start(const std::string& id, const std::string& domain, int address)
{
  lives_.push_back(std::make_unique<ServerLife>());
  ServerLife& life = *lives_.back();
  life.id = id;
  life.born = review::unixMilliseconds();
  life.domain = domain;
  life.address = address < 0 ? proxy_.open(false) : address;
  life.journal = folder_ + "/" + id + "@" + std::to_string(life.born) + ".journal";
  // Every third life has a slow clock.
  const char* const drift = lives_.size() % 3 == 0 ? "1.02" : "1";
  const pid_t parent = getpid();
  life.pid = fork();
  if (life.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    execl("/proc/self/exe",
          "ownership_run",
          "--server",
          life.id.c_str(),
          life.journal.c_str(),
          drift,
          static_cast<char*>(nullptr));
    _exit(127);
  }
  proxy_.setUpstream(life.address, awaitPort(life));
  for (const auto& other : lives_) {
    other->isRegistered = other->isRegistered && other->id != id;
  }
  publish(life);
  return life;
}

int ServerFleet::awaitPort(const ServerLife& life) const
{
  const auto until = review::after(kStartTimeout);
  while (review::Clock::now() < until) {
    const auto entries = readJournal(life.journal);
    if (!entries.empty()) {
      return entries.front().from;
    }
    review::sleepFor(0.005);
  }
  throw std::runtime_error("a server hasn't started");
}

void ServerFleet::publish(ServerLife& life)
{
  life.isRegistered = true;
  store_.put(
    "servers",
    life.id,
    review::Json::parse(wire::testing::serverContent(
      "127.0.0.1:" + std::to_string(proxy_.portOf(life.address)), life.born, "shelf", life.domain)),
    review::Json::parse(life.isDraining ? wire::testing::drainingServerStatus()
                                        : wire::testing::readyServerStatus()));
}

void ServerFleet::kill(ServerLife& life)
{
  if (!life.isUp()) {
    return;
  }
  ::kill(life.pid, SIGKILL);
  waitpid(life.pid, nullptr, 0);
  life.endedAt = steadyNow();
  life.silentSince = life.silentSince == 0 ? life.endedAt : life.silentSince;
}

void ServerFleet::pause(ServerLife& life)
{
  if (life.isUp() && !life.isPaused) {
    ::kill(life.pid, SIGSTOP);
    life.isPaused = true;
    life.silentSince = steadyNow();
  }
}

void ServerFleet::resume(ServerLife& life)
{
  if (!life.isUp() || !life.isPaused) {
    return;
  }
  ::kill(life.pid, SIGCONT);
  life.isPaused = false;
  life.silentSince = 0;
  const bool isLatest = std::ranges::none_of(
    lives_, [&](const auto& other) { return other->id == life.id && other->born > life.born; });
  if (isLatest) {
    publish(life);
  }
}

void ServerFleet::drain(ServerLife& life)
{
  if (life.isUp() && life.isRegistered) {
    life.isDraining = true;
    publish(life);
  }
}

void ServerFleet::tick()
{
  for (const auto& life : lives_) {
    if (life->isRegistered && life->silentSince != 0 &&
        steadyNow() >= life->silentSince + kEntryTimeout) {
      store_.remove("servers", life->id);
      life->isRegistered = false;
    }
  }
}

std::vector<ServerLife*> ServerFleet::ordinary()
{
  std::vector<ServerLife*> result;
  for (const auto& life : lives_) {
    if (life->isUp() && !life->isPaused && !life->isDraining && life->isRegistered) {
      result.push_back(life.get());
    }
  }
  return result;
}

} // namespace sycamore::soak
