#include "PagingStore.h"

#include <PagedStore.h>
#include <StoreTexts.h>

using namespace review;
namespace wire_testing = sycamore::wire::testing;

namespace {

std::string textOf(const Message& request)
{
  return request.firstLine +
         "\r\nHost: store\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
         request.body;
}

bool isList(const Message& request)
{
  const std::string path = request.word(1).substr(0, request.word(1).find('?'));
  // Lists name a kind only: three slashes.
  return request.word(0) == "GET" && std::ranges::count(path, '/') == 3 &&
         wire_testing::storeCallOf(request.firstLine).kind != wire_testing::StoreCall::Kind::Watch;
}

} // namespace

PagingStore::PagingStore(const std::string& address, std::size_t pageSize)
  : storePort_(std::stoi(address.substr(address.rfind(':') + 1)))
  , pageSize_(pageSize)
  , listening_("127.0.0.1", 0, [this](Channel& channel) { serve(channel); })
{
}

void PagingStore::serve(Channel& channel)
{
  const auto store = connectTo("127.0.0.1", storePort_);
  Message request;
  while (store && channel.read(request)) {
    const std::string text = answer(request, *store);
    if (text.empty() || !channel.write(text)) {
      return;
    }
  }
}

std::string PagingStore::answer(const Message& request, Channel& store)
{
  const auto after = wire_testing::listedAfter(request.firstLine + "\r\n");
  if (!after) {
    ++refusals_;
    return answerText(400, "{}");
  }
  Message forwarded = request;
  const bool isPaged = isList(request);
  if (isPaged) {
    ++lists_;
    forwarded.firstLine =
      "GET " + request.word(1).substr(0, request.word(1).find('?')) + " HTTP/1.1";
  }
  Message answer;
  if (!store.write(textOf(forwarded)) || !store.read(answer)) {
    return "";
  }
  return answerText(std::stoi(answer.word(1)),
                    isPaged ? wire_testing::pageOf(answer.body, *after, pageSize_) : answer.body);
}
