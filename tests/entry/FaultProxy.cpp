#include "FaultProxy.h"

#include "KeyServer.h"

#include <ServerTexts.h>

namespace sycamore::soak {

namespace {

constexpr double kPollInterval = 0.005;
// Time in which a message is complete once its first byte has arrived.
constexpr double kMessageTimeout = 10;

std::string textOf(const review::Message& message, const std::string& extraHeaders)
{
  std::string text = message.firstLine + "\r\n" + extraHeaders;
  for (const auto& [name, value] : message.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + message.body;
}

CallKind kindOf(const review::Message& request, bool isStore)
{
  if (isStore) {
    return request.word(0) == "GET" ? CallKind::Read : CallKind::Write;
  }
  const auto call = wire::testing::keyCallOf(
    request.word(1), [&](const std::string& name) { return request.header(name); }, request.body);
  switch (call.kind) {
    case wire::testing::KeyCall::Kind::Grant:
      return CallKind::Grant;
    case wire::testing::KeyCall::Kind::Release:
      return CallKind::Release;
    default:
      return CallKind::Work;
  }
}

// Returns the address of the VM, or "" if it has already reset the connection.
std::string peerOf(const review::Channel& channel)
{
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(channel.fd(), reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    return "";
  }
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
  return text;
}

} // namespace

struct FaultProxy::Connection
{
  Address& address;
  int number;
  review::Channel& channel;
  std::string vm;
  std::shared_ptr<review::Channel> upstream;
  // Bytes that are sent when the next call arrives, also if it gets no answer of its own.
  std::string early;
  std::atomic<bool> isSilent{ false };
};

FaultProxy::FaultProxy(std::uint64_t seed)
  : random_(seed)
  , silenceRandom_(~seed)
{
}

FaultProxy::~FaultProxy()
{
  stopped_ = true;
  for (const auto& address : addresses_) {
    address->listening->stop();
  }
}

int FaultProxy::open(bool isStore)
{
  const int number = static_cast<int>(addresses_.size());
  addresses_.push_back(std::make_unique<Address>());
  Address& address = *addresses_.back();
  address.isStore = isStore;
  address.listening = std::make_unique<review::Listening>(
    "127.0.0.1", 0, [this, &address, number](review::Channel& channel) {
      serve(address, number, channel);
    });
  return number;
}

int FaultProxy::portOf(int address) const
{
  return addresses_.at(static_cast<std::size_t>(address))->listening->port();
}

void FaultProxy::setUpstream(int address, int port)
{
  addresses_.at(static_cast<std::size_t>(address))->upstream = port;
}

void FaultProxy::add(FaultRule rule)
{
  const std::lock_guard lock(mutex_);
  rules_.push_back(std::move(rule));
}

int FaultProxy::silenceConnections(int address, double share)
{
  const std::lock_guard lock(mutex_);
  int count = 0;
  for (Connection* connection : connections_) {
    const bool isMeant = address < 0 ? !connection->address.isStore : connection->number == address;
    if (isMeant && std::uniform_real_distribution<>(0, 1)(silenceRandom_) < share) {
      connection->isSilent = true;
      ++count;
    }
  }
  return count;
}

std::map<CallFault, int> FaultProxy::applied()
{
  const std::lock_guard lock(mutex_);
  return applied_;
}

std::optional<FaultProxy::Draw> FaultProxy::draw(const std::string& vm, int address, CallKind kind)
{
  const std::lock_guard lock(mutex_);
  const Nanoseconds now = steadyNow();
  std::erase_if(rules_, [now](const FaultRule& rule) { return rule.until <= now; });
  for (const FaultRule& rule : rules_) {
    if (rule.concerns(vm, address, kind) &&
        std::uniform_real_distribution<>(0, 1)(random_) < rule.probability) {
      ++applied_[rule.fault];
      return Draw{ rule.fault,
                   std::uniform_real_distribution<>(rule.minSeconds, rule.maxSeconds)(random_) };
    }
  }
  return std::nullopt;
}

bool FaultProxy::isCut(const std::string& vm, int address, CallKind kind)
{
  const std::lock_guard lock(mutex_);
  const Nanoseconds now = steadyNow();
  return std::ranges::any_of(rules_, [&](const FaultRule& rule) {
    return (rule.fault == CallFault::DropCall || rule.fault == CallFault::DropAnswer) &&
           rule.probability >= 1 && rule.until > now && rule.concerns(vm, address, kind);
  });
}

void FaultProxy::awaitLeave(const review::Channel& channel) const
{
  while (!stopped_ && !channel.peerHasLeft()) {
    review::sleepFor(kPollInterval);
  }
}

void FaultProxy::serve(Address& address, int number, review::Channel& channel)
{
  Connection connection{ address, number, channel, peerOf(channel), nullptr, "" };
  {
    const std::lock_guard lock(mutex_);
    connections_.insert(&connection);
  }
  review::Message request;
  while (!stopped_ && channel.read(request) && pass(connection, request)) {
  }
  {
    const std::lock_guard lock(mutex_);
    connections_.erase(&connection);
  }
  channel.reset();
}

bool FaultProxy::pass(Connection& connection, const review::Message& request)
{
  const Nanoseconds sentAt = steadyNow();
  if (connection.isSilent) {
    awaitLeave(connection.channel);
    return false;
  }
  if (!connection.early.empty() && !connection.channel.write(std::exchange(connection.early, ""))) {
    return false;
  }
  const CallKind kind = kindOf(request, connection.address.isStore);
  const auto draw = this->draw(connection.vm, connection.number, kind);
  std::string trace;
  if (!connection.address.isStore) {
    // The id of a call names the process that sent it, also if its connection has been reset.
    const std::string origin = connection.vm.empty()
                                 ? "call:" + request.header(wire::testing::kRequestIdName)
                                 : connection.vm;
    trace = std::string(kSentAtHeader) + ": " + std::to_string(sentAt) + "\r\n" + kOriginHeader +
            ": " + origin + "\r\n";
  }
  if (draw && draw->fault == CallFault::ApplyLate) {
    trace += std::string(kLateHeader) + ": " +
             std::to_string(static_cast<int>(draw->seconds * 1000)) + "\r\n";
  }
  const CallFault fault = draw ? draw->fault : CallFault::HoldAnswer;
  if (draw && fault == CallFault::Busy) {
    return connection.channel.write(
      review::answerText(draw->seconds < 0.5 ? 503 : 429, "{}", "Retry-After: 0.2\r\n"));
  }
  if (draw && fault == CallFault::SpoilAnswer) {
    return connection.channel.write(review::answerText(500, ""));
  }
  if (draw && fault == CallFault::ResetCall) {
    return false;
  }
  if (draw && fault == CallFault::DropCall) {
    awaitLeave(connection.channel);
    return false;
  }
  if (draw && fault == CallFault::HoldCall) {
    const Nanoseconds dueAt = sentAt + seconds(draw->seconds);
    while (!stopped_ && steadyNow() < dueAt) {
      review::sleepFor(kPollInterval);
    }
  }
  const bool arrivesWithoutSender =
    draw && (fault == CallFault::HoldCall || fault == CallFault::DropAnswer);
  const auto answer = call(connection, textOf(request, trace), !arrivesWithoutSender);
  return answer && deliver(connection, kind, *answer, draw);
}

bool FaultProxy::deliver(Connection& connection,
                         CallKind kind,
                         const std::string& answer,
                         const std::optional<Draw>& draw)
{
  if (draw) {
    switch (draw->fault) {
      case CallFault::HoldAnswer: {
        const Nanoseconds dueAt = steadyNow() + seconds(draw->seconds);
        while (!stopped_ && steadyNow() < dueAt && !connection.channel.peerHasLeft()) {
          review::sleepFor(kPollInterval);
        }
        break;
      }
      case CallFault::DropAnswer:
        awaitLeave(connection.channel);
        return false;
      case CallFault::ResetAnswer:
        return false;
      case CallFault::CopyAnswer:
        connection.early = answer;
        break;
      case CallFault::StrayAnswer:
        connection.early = wire::testing::misdirectedAnswer("");
        break;
      default:
        break;
    }
  }
  if (connection.isSilent || isCut(connection.vm, connection.number, kind)) {
    awaitLeave(connection.channel);
    return false;
  }
  return connection.channel.write(answer);
}

// Returns nothing if the connection to the server or, with `mayLeave`, the caller has ended.
std::optional<std::string> FaultProxy::call(Connection& connection,
                                            const std::string& text,
                                            bool mayLeave)
{
  if (!connection.upstream) {
    connection.upstream = review::connectTo("127.0.0.1", connection.address.upstream);
  }
  if (!connection.upstream || !connection.upstream->write(text)) {
    return std::nullopt;
  }
  pollfd waiting[2] = { { connection.upstream->fd(), POLLIN, 0 },
                        { connection.channel.fd(), POLLIN, 0 } };
  while (!stopped_) {
    const int ready = poll(waiting, mayLeave ? 2 : 1, 200);
    if (ready > 0 && waiting[0].revents != 0) {
      review::Message answer;
      return connection.upstream->read(answer, review::after(kMessageTimeout))
               ? std::optional(textOf(answer, ""))
               : std::nullopt;
    }
    if (ready > 0 && connection.channel.peerHasLeft()) {
      return std::nullopt;
    }
    if (ready > 0) {
      review::sleepFor(kPollInterval);
    }
  }
  return std::nullopt;
}

} // namespace sycamore::soak
