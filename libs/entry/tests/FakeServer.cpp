#include "FakeServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sycamore::entry {

namespace {

struct Connection;

} // namespace

struct FakeServer::State
{
  std::vector<std::weak_ptr<Connection>> connections;
  React react;
  std::vector<std::string> requests;
  unsigned accepted = 0;
  unsigned ended = 0;
  unsigned toReset = 0;
  bool holdsNewConnections = false;
  std::vector<std::shared_ptr<Connection>> held;

  static void read(const std::shared_ptr<State>& state,
                   const std::shared_ptr<Connection>& connection);
};

namespace {

struct Connection : std::enable_shared_from_this<Connection>
{
  explicit Connection(tcp::socket s)
    : socket(std::move(s))
    , timer(socket.get_executor())
  {
  }

  void read(const std::function<FakeServer::Reaction(const std::string&)>& react,
            const std::function<void()>& onEnd)
  {
    socket.async_read_some(
      asio::buffer(chunk),
      [self = shared_from_this(), react, onEnd](const error_code& error, std::size_t count) {
        if (error) {
          onEnd();
          return;
        }
        self->in.append(self->chunk.data(), count);
        const std::size_t headEnd = self->in.find("\r\n\r\n");
        if (headEnd != std::string::npos && !self->isSilent) {
          const std::string request = std::move(self->in);
          self->in.clear();
          self->perform(react(request));
        }
        if (self->socket.is_open() && !self->isEnding) {
          self->read(react, onEnd);
        }
      });
  }

  void perform(FakeServer::Reaction reaction)
  {
    if (reaction.delay > std::chrono::milliseconds::zero()) {
      timer.expires_after(std::exchange(reaction.delay, std::chrono::milliseconds::zero()));
      timer.async_wait([self = shared_from_this(), reaction](const error_code& error) {
        if (!error) {
          self->perform(reaction);
        }
      });
      return;
    }
    error_code ignored;
    asio::write(socket, asio::buffer(reaction.bytes), ignored);
    isEnding = reaction.end != FakeServer::Reaction::End::KeepOpen;
    if (isEnding && reaction.endDelay > std::chrono::milliseconds::zero()) {
      timer.expires_after(reaction.endDelay);
      timer.async_wait([self = shared_from_this(), end = reaction.end](const error_code& error) {
        if (!error) {
          self->perform({ "", end });
        }
      });
      return;
    }
    if (reaction.end == FakeServer::Reaction::End::ShutdownSend) {
      socket.shutdown(tcp::socket::shutdown_send, ignored);
      awaitPeer();
      return;
    }
    if (reaction.end == FakeServer::Reaction::End::Reset) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (reaction.end != FakeServer::Reaction::End::KeepOpen) {
      socket.close(ignored);
    } else if (!reaction.endless.empty()) {
      writeEndlessly(std::make_shared<FakeServer::Reaction>(reaction));
    }
  }

  // Keeps the connection until the other side resets it.
  void awaitPeer()
  {
    socket.async_wait(tcp::socket::wait_error, [self = shared_from_this()](const error_code&) {});
  }

  void writeEndlessly(const std::shared_ptr<FakeServer::Reaction>& reaction)
  {
    asio::async_write(socket,
                      asio::buffer(reaction->endless),
                      [self = shared_from_this(), reaction](const error_code& error, std::size_t) {
                        if (error) {
                          return;
                        }
                        self->timer.expires_after(reaction->endlessInterval);
                        self->timer.async_wait([self, reaction](const error_code& waitError) {
                          if (!waitError && self->socket.is_open()) {
                            self->writeEndlessly(reaction);
                          }
                        });
                      });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 65536> chunk{};
  std::string in;
  bool isSilent = false;
  // Whether the connection is about to end, so that nothing more is read.
  bool isEnding = false;
};

} // namespace

void FakeServer::State::read(const std::shared_ptr<State>& state,
                             const std::shared_ptr<Connection>& connection)
{
  connection->read(
    [state](const std::string& request) {
      state->requests.push_back(request);
      return state->react(request);
    },
    [state] { ++state->ended; });
}

FakeServer::FakeServer(asio::io_context& context, React react)
  : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
  , state_(std::make_shared<State>())
{
  state_->react = std::move(react);
  accept();
}

FakeServer::~FakeServer()
{
  error_code ignored;
  acceptor_.close(ignored);
}

const std::vector<std::string>& FakeServer::requests() const
{
  return state_->requests;
}

void FakeServer::resetConnections()
{
  for (const auto& weak : state_->connections) {
    if (const auto connection = weak.lock()) {
      connection->perform({ "", Reaction::End::Reset });
    }
  }
}

void FakeServer::resetNextConnections(unsigned count)
{
  state_->toReset = count;
}

void FakeServer::silenceConnections(std::size_t count)
{
  for (std::size_t i = 0; i < std::min(count, state_->connections.size()); ++i) {
    if (const auto connection = state_->connections[i].lock()) {
      connection->isSilent = true;
    }
  }
}

void FakeServer::holdNewConnections()
{
  state_->holdsNewConnections = true;
}

void FakeServer::readHeldConnections()
{
  state_->holdsNewConnections = false;
  for (const auto& connection : std::exchange(state_->held, {})) {
    State::read(state_, connection);
  }
}

unsigned FakeServer::accepted() const
{
  return state_->accepted;
}

unsigned FakeServer::ended() const
{
  return state_->ended;
}

void FakeServer::accept()
{
  acceptor_.async_accept([this, state = state_](const error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    ++state->accepted;
    const auto connection = std::make_shared<Connection>(std::move(socket));
    if (state->toReset > 0) {
      --state->toReset;
      connection->perform({ "", Reaction::End::Reset });
      accept();
      return;
    }
    state->connections.push_back(connection);
    if (state->holdsNewConnections) {
      state->held.push_back(connection);
    } else {
      State::read(state, connection);
    }
    accept();
  });
}

} // namespace sycamore::entry
