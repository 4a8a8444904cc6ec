#pragma once

#include <base/Ids.h>
#include <requests/AttemptClassifier.h>
#include <requests/StoredAnswer.h>
#include <transport/HttpExchange.h>
#include <transport/HttpServer.h>

#include <optional>
#include <string>

namespace sycamore::router {

// Passes the answer of a backend server, or of the holder, on to the caller while it arrives. An
// answer that says that the request did not run, or that it is unknown whether it ran, is held back
// so that the request can be repeated or refused. Lives on one traffic thread.
class Answer
{
public:
  // storeLimit: bytes of a body that are kept for storedAnswer(); 0 keeps none.
  Answer(transport::ServerResponse& response, base::RequestId id, std::size_t storeLimit);

  // Whose answer it is. Only another entry VM may name the server that ran the request, or mark the
  // answer as replayed from the ledger.
  enum class Sender
  {
    BackendServer,
    EntryVm
  };

  // The receiver for one exchange. `from` is the server that runs the request.
  transport::ResponseReceiver receiver(const base::ServerId& from, Sender sender);

  // Classifies the attempt that ended with this result.
  requests::Classification classify(transport::ExchangeResult result) const;

  // Whether a part of an answer has gone to the caller.
  bool isCommitted() const { return committed_; }
  // Whether the whole answer has been passed on. Ends it.
  bool complete();
  int status() const { return head_.status; }
  // A header of the answer by its lower-case name.
  std::optional<std::string> header(std::string_view name) const { return head_.header(name); }
  requests::StoredAnswer storedAnswer() const;
  // Whether the caller's connection broke while the answer was passed on.
  bool isCallerGone() const { return callerGone_; }

private:
  bool onHead(const transport::ResponseHead& head, const base::ServerId& from, Sender sender);
  void passOwnHeaders(const base::ServerId& from, Sender sender);
  bool onBody(std::string_view part);

  transport::ServerResponse& response_;
  const base::RequestId id_;
  const std::size_t storeLimit_;
  transport::ResponseHead head_;
  std::string stored_;
  bool storedAll_ = true;
  bool headSeen_ = false;
  bool heldBack_ = false;
  bool committed_ = false;
  bool callerGone_ = false;
};

} // namespace sycamore::router
