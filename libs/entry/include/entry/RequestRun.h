#pragma once

#include <entry/Dispatcher.h>

namespace sycamore::entry {

// One caller's request on its way: chooses a server, sends it there, tries again where that can't
// run it twice, and ends with exactly one answer. Traffic thread only.
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(Dispatcher& dispatcher,
             Request request,
             base::TimePoint began,
             Dispatcher::Deliver deliver);

  void start();

  // The caller has left: ends the work for it.
  void cancel();

  const dispatch::Route& route() const { return *route_; }
  const base::ServiceId& service() const { return service_; }
  const wire::RequestMetadata& facts() const { return facts_; }
  bool tried(const base::ServerId& server) const { return tried_.contains(server); }

  // Time until the target latency has passed, and until the answer must be given.
  base::Duration targetLeft(base::TimePoint now) const;
  base::Duration timeLeft(base::TimePoint now) const;

private:
  void send();
  void exchangeWith(const std::shared_ptr<ServerPool>& pool, base::TimePoint now);
  void onResult(ExchangeResult result);
  void onAnswered(ServerAnswer answer);
  void onNotRun(const ServerAnswer& answer);
  void onNotSent();
  void onUnknown(const char* why);
  void endExchange(bool reusable);
  bool mayResend(base::TimePoint now) const;
  bool withdrawRetry(base::TimePoint now);
  void sendAfter(base::Duration pause);
  void giveUp();
  // Ends the request with an answer of our own.
  void end(unsigned status, std::string_view reason);
  void refuse(std::string_view reason, base::Duration returnAfter);
  void deliver(CallerAnswer answer, std::string_view reason);
  void logEnd(unsigned status, std::string_view reason) const;
  void countEnd(unsigned status) const;

  Dispatcher& dispatcher_;
  Request request_;
  wire::RequestMetadata facts_;
  Dispatcher::Deliver deliver_;
  base::TimePoint began_;
  base::TimePoint endBy_;
  std::shared_ptr<const dispatch::Configuration> configuration_;
  const dispatch::Route* route_ = nullptr;
  base::ServiceId service_;
  std::uint64_t digest_ = 0;
  asio::steady_timer endTimer_;
  asio::steady_timer pauseTimer_;
  // The last server that the request was sent to.
  std::shared_ptr<ServerPool> pool_;
  // The server for whose sake the request was refused before it was sent anywhere.
  std::shared_ptr<ServerPool> decidedBy_;
  // Whether the answer is a server's.
  bool answered_ = false;
  std::shared_ptr<ServerConnection> connection_;
  base::TimePoint sentAt_;
  // Sends that reached a server, those that it refused included.
  unsigned sends_ = 0;
  unsigned failedConnects_ = 0;
  // Whether a server may have run the request.
  bool mayHaveRun_ = false;
  std::set<base::ServerId> tried_;
};

} // namespace sycamore::entry
