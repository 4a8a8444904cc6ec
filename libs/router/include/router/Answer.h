#pragma once

#include <base/Ids.h>
#include <requests/AttemptClassifier.h>
#include <requests/StoredAnswer.h>
#include <transport/HttpExchange.h>
#include <transport/HttpServer.h>

#include <optional>
#include <string>

namespace sycamore::router {

// Streams the answer of a backend server, or of the lease holder, to the caller as it arrives. An
// answer whose outcome is not-run or unknown is held back, so that the request can be retried or
// refused. An answer that names another request's id ends the exchange like a lost connection: a
// server may have sent a second copy of an earlier answer. Used by one traffic thread.
class Answer
{
public:
  // storeLimit: maximum size in bytes of a body that is kept for storedAnswer(); 0 keeps none.
  Answer(transport::ServerResponse& response, base::RequestId id, std::size_t storeLimit);

  // Sender of the answer. Only another entry VM may name the server that ran the request, or mark
  // the answer as replayed from the deduplication table.
  enum class Sender
  {
    BackendServer,
    EntryVm
  };

  // Returns the receiver for one exchange. `from` is the server that runs the request.
  transport::ResponseReceiver receiver(const base::ServerId& from, Sender sender);

  // Classifies an attempt whose exchange ended with this result.
  requests::Classification classify(transport::ExchangeResult result) const;

  // Returns whether a part of an answer has been sent to the caller.
  bool isCommitted() const { return committed_; }
  // Ends the answer to the caller. Returns whether it was sent completely.
  bool complete();
  int status() const { return head_.status; }
  // Returns a header of the answer by its lower-case name.
  std::optional<std::string> header(std::string_view name) const { return head_.header(name); }
  requests::StoredAnswer storedAnswer() const;
  // Returns whether the caller disconnected while the answer was sent to it.
  bool isCallerDisconnected() const { return callerDisconnected_; }

private:
  bool belongsToOtherRequest(const transport::ResponseHead& head) const;
  bool onHead(const transport::ResponseHead& head, const base::ServerId& from, Sender sender);
  void setRouterHeaders(const base::ServerId& from, Sender sender);
  bool onBody(std::string_view part);

  transport::ServerResponse& response_;
  const base::RequestId id_;
  const std::size_t storeLimit_;
  transport::ResponseHead head_;
  std::string storedBody_;
  bool isStoredBodyComplete_ = true;
  bool headReceived_ = false;
  bool receivedOtherAnswer_ = false;
  bool heldBack_ = false;
  bool committed_ = false;
  bool callerDisconnected_ = false;
};

} // namespace sycamore::router
