#pragma once

#include <entry/IdleConnections.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sycamore::entry {

// A call without effect that the server answers unlike a call that it accepts. It has the method of
// the call that it goes with.
struct OpeningCall
{
  std::string path;
  // Additional header lines, each with its line end.
  std::string headers;
  std::string body;
};

// An HTTP call with an optional JSON body to the store or to a backend server.
struct Call
{
  dispatch::Endpoint endpoint;
  std::string method;
  std::string path;
  // Additional header lines, each with its line end.
  std::string headers;
  std::string body;
  // Id that tells the call's own answer from late copies of others; empty if the receiver repeats
  // no ids.
  std::string requestId;
  // Time for which the call may go without an answer or, if `maxDuration` is longer, without a
  // further byte of it. It counts anew when a call with an opening has got its connection.
  base::Duration timeout{};
  // Time that a new connection may take to be established; zero means the timeout.
  base::Duration connectTimeout{};
  // Checked right before the call is written to a connection, which may be long after the call
  // began if the process got no processor time. If it doesn't hold, the call isn't sent. May be
  // empty.
  std::function<bool()> maySend;
  // Whether the call needs a connection that carried no other call, where no late answer to an
  // earlier one can be taken for its own.
  bool needsNewConnection = false;
  // Call that a new connection carries first, unless this call needs the connection for itself;
  // empty if there is none. The call itself is written only to a connection on which the server has
  // answered: nothing tells when a busy server begins to read a new one, and it may read what was
  // written after the connection was reset. If the answer to the call carries no id, the opening
  // call also follows it, since a copy of that answer would come in its place.
  std::optional<OpeningCall> opening;
  // Time that the call may take altogether while bytes of its answer arrive.
  base::Duration maxDuration{};
  // Bytes that the body of the answer may have.
  std::uint64_t maxAnswerBytes = kMaxAnswerBytes;
};

// How the answers to calls with an id could be told from answers to other calls.
struct CallAnswers
{
  // They carried the call's id, no id, or that of another call, which were skipped.
  std::uint64_t ownId = 0;
  std::uint64_t withoutId = 0;
  std::uint64_t otherId = 0;
  // They came while no call was open on their connection.
  std::uint64_t unasked = 0;
};

// Sends HTTP calls over persistent connections. A call that isn't answered within its timeout
// resets its connection and closes the idle connections to the same address that haven't answered
// since. A call with an opening is written only to connections on which the server has answered. An
// answer to a call with an id must repeat the id, unless the first answer on that connection
// didn't. Control thread only.
class CallClient
{
public:
  using Finished = std::function<void(ExchangeResult)>;

  // `quota` bounds the memory for answers.
  CallClient(asio::io_context& context, const BufferQuota& quota);
  ~CallClient();

  void call(Call call, Finished finished);

  // Runs the function from the event loop, for the end of a call that isn't sent.
  void post(std::function<void()> function);

  // Closes the idle connections to this address.
  void closeIdle(const dispatch::Endpoint& endpoint);

  // Returns what was counted since the start of the process.
  CallAnswers answers() const;

private:
  struct Pending;
  struct Opening;
  struct Destination;
  using EndpointKey = std::pair<std::string, std::uint16_t>;

  void start(const std::shared_ptr<Pending>& pending,
             const std::shared_ptr<ServerConnection>& connection);
  void onEnded(Pending& pending, ExchangeResult result);
  // Makes a connection on which answers carry no id fit for the next call.
  void separate(const Pending& pending, const Destination& destination);
  std::shared_ptr<ServerConnection> newConnection(const dispatch::Endpoint& endpoint);
  // Opens another connection for the calls that wait for one, unless enough are being opened.
  void openConnection(const Call& call);
  // Sends the opening call on a connection, which is given up after `timeout`.
  void sendOpening(const Call& call,
                   const std::shared_ptr<ServerConnection>& connection,
                   base::Duration timeout);
  void onOpened(Opening& opening, ExchangeResult result);
  void onNotOpened(Destination& destination, ExchangeResult result);
  void useOpened(Destination& destination, const std::shared_ptr<ServerConnection>& connection);
  // Starts calls that wait on the connections that have become idle.
  void serveWaiting(Destination& destination);
  void dropExpired(Destination& destination);
  // Starts the call that has waited longest.
  void startWaiting(Destination& destination, const std::shared_ptr<ServerConnection>& connection);
  // Waits until the call has made no progress for its timeout, or has taken too long.
  void awaitTimeout(const std::shared_ptr<Pending>& pending);
  void onTimeout(Pending& pending);
  static void finish(Pending& pending, ExchangeResult result);
  Destination& destinationOf(const dispatch::Endpoint& endpoint);
  void count(const ExchangeResult& result);

  asio::io_context& context_;
  BufferQuota quota_;
  std::map<EndpointKey, std::unique_ptr<Destination>> destinations_;
  CallAnswers answers_;
};

} // namespace sycamore::entry
