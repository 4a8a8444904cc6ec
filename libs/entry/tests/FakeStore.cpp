#include "FakeStore.h"

#include <StoreTexts.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace sycamore::entry {

using namespace wire::testing;

namespace {

constexpr std::uint64_t kFirstRevision = 10;
constexpr std::chrono::milliseconds kSendInterval{ 5 };

} // namespace

struct FakeStore::State
{
  std::size_t bytesPerSecond = 0;
  // The object in each of its versions, oldest first.
  std::vector<std::string> versions;
  std::size_t staleVersions = 0;
  std::size_t bytesSent = 0;
  // Keeps silent connections open.
  std::vector<std::shared_ptr<Connection>> connections;

  std::uint64_t revision() const { return kFirstRevision + versions.size() - 1; }

  std::string answer(const StoreCall& call) const
  {
    const std::size_t newest = versions.size() - 1;
    const std::size_t shown = call.staleAllowed ? newest - std::min(newest, staleVersions) : newest;
    std::string body = versions[shown];
    if (call.kind == StoreCall::Kind::List) {
      body = listBody(versions[shown], kFirstRevision + shown);
    } else if (call.kind == StoreCall::Kind::Watch) {
      std::vector<std::string> events;
      for (std::size_t i = 0; i <= shown; ++i) {
        if (kFirstRevision + i > call.since) {
          events.push_back(versions[i]);
        }
      }
      body = watchBody(events, kFirstRevision + shown);
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

struct FakeStore::Connection : std::enable_shared_from_this<Connection>
{
  Connection(tcp::socket s, std::shared_ptr<State> st)
    : socket(std::move(s))
    , timer(socket.get_executor())
    , state(std::move(st))
  {
  }

  void read()
  {
    socket.async_read_some(asio::buffer(chunk),
                           [self = shared_from_this()](const error_code& error, std::size_t count) {
                             if (error || self->isSilent) {
                               return;
                             }
                             self->in.append(self->chunk.data(), count);
                             if (self->in.find("\r\n\r\n") == std::string::npos) {
                               self->read();
                               return;
                             }
                             const StoreCall call = storeCallOf(self->in);
                             self->in.clear();
                             self->respond(call, std::chrono::steady_clock::now() + call.wait);
                           });
  }

  // Answers a call. A watch that has nothing to tell waits until its end.
  void respond(const StoreCall& call, std::chrono::steady_clock::time_point end)
  {
    if (isSilent) {
      return;
    }
    const bool mustWait = call.kind == StoreCall::Kind::Watch && state->revision() <= call.since &&
                          std::chrono::steady_clock::now() < end;
    if (!mustWait) {
      send(state->answer(call));
      return;
    }
    timer.expires_after(kSendInterval);
    timer.async_wait([self = shared_from_this(), call, end](const error_code& waitError) {
      if (!waitError) {
        self->respond(call, end);
      }
    });
  }

  // Sends what the link carries within one interval, then the rest.
  void send(std::string bytes)
  {
    if (isSilent) {
      return;
    }
    const std::size_t intervals = std::chrono::seconds(1) / kSendInterval;
    const std::size_t count = std::min(bytes.size(), state->bytesPerSecond / intervals);
    error_code error;
    asio::write(socket, asio::buffer(bytes, count), error);
    state->bytesSent += count;
    if (error) {
      return;
    }
    if (count == bytes.size()) {
      read();
      return;
    }
    timer.expires_after(kSendInterval);
    timer.async_wait(
      [self = shared_from_this(), rest = bytes.substr(count)](const error_code& waitError) {
        if (!waitError) {
          self->send(rest);
        }
      });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::shared_ptr<State> state;
  std::array<char, 4096> chunk{};
  std::string in;
  bool isSilent = false;
};

FakeStore::FakeStore(asio::io_context& context, std::size_t bytesPerSecond)
  : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
  , state_(std::make_shared<State>())
{
  state_->bytesPerSecond = bytesPerSecond;
  accept();
}

FakeStore::~FakeStore()
{
  error_code ignored;
  acceptor_.close(ignored);
  // The connections refer to the state.
  state_->connections.clear();
}

void FakeStore::write(std::size_t routes)
{
  const std::size_t version = state_->versions.size();
  state_->versions.push_back(configurationObject(
    kFirstRevision + version, version + 1, routes, 1.0 + static_cast<double>(version) / 64));
}

std::uint64_t FakeStore::revision() const
{
  return state_->revision();
}

void FakeStore::setStaleVersions(std::size_t versions)
{
  state_->staleVersions = versions;
}

void FakeStore::silenceConnections()
{
  for (const auto& connection : state_->connections) {
    connection->isSilent = true;
  }
}

std::size_t FakeStore::bytesSent() const
{
  return state_->bytesSent;
}

void FakeStore::accept()
{
  acceptor_.async_accept([this, state = state_](const error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    const auto connection = std::make_shared<Connection>(std::move(socket), state);
    state->connections.push_back(connection);
    connection->read();
    accept();
  });
}

} // namespace sycamore::entry
