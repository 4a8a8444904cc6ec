#include "DispatcherFixture.h"

#include <entry/SteadyTime.h>

#include <ServerTexts.h>

namespace sycamore::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPatience{ 1000 };
const base::ServiceId kPlain{ "plain" };
const base::ServiceId kKeyed{ "keyed" };

dispatch::Route route(const std::string& prefix,
                      dispatch::Repeatability repeatability,
                      const base::ServiceId& service)
{
  dispatch::Route result;
  result.name = prefix;
  result.host = "shop.example";
  result.pathPrefix = prefix;
  result.repeatability = repeatability;
  result.timeout = milliseconds(400);
  result.targetLatency = milliseconds(200);
  result.attempts = 2;
  result.targets = { { service, 1 } };
  return result;
}

} // namespace

DispatcherFixture::DispatcherFixture(std::uint64_t memoryBytes)
{
  settings_.memoryBytes = memoryBytes;
  settings_.vm = base::VmId("vm");
  settings_.domain = base::DomainId("a");
  settings_.retrySlack = 100;
  settings_.keyWithdrawal = kKeyWithdrawal;
  configuration_.version = 1;
  configuration_.routes = { route("/read/", dispatch::Repeatability::Idempotent, kPlain),
                            route("/order/", dispatch::Repeatability::AtMostOnce, kPlain),
                            route("/keyed/", dispatch::Repeatability::Idempotent, kKeyed) };
  configuration_.services[kPlain] = { 100, 10, false };
  configuration_.services[kKeyed] = { 100, 10, true };
  dispatcher_ = std::make_unique<Dispatcher>(context_, settings_, log_, 1);
}

FakeServer& DispatcherFixture::addPlainServer(FakeServer::React react)
{
  fakes_.push_back(std::make_unique<FakeServer>(context_, std::move(react)));
  add("plain", fakes_.back()->port());
  return *fakes_.back();
}

FakeServer& DispatcherFixture::addDistantServer(FakeServer::React react)
{
  FakeServer& server = addPlainServer(std::move(react));
  servers_.at(base::ServerId("plain-" + std::to_string(server.port()))).domain =
    base::DomainId("b");
  return server;
}

FakeServer& DispatcherFixture::addKeyedServer(FakeServer::React react)
{
  fakes_.push_back(std::make_unique<FakeServer>(context_, std::move(react)));
  add("keyed", fakes_.back()->port());
  const base::ServerId id("keyed-" + std::to_string(fakes_.back()->port()));
  ownership_.services[kKeyed] = { { 0, dispatch::kLastKey, id, 1, 1 } };
  return *fakes_.back();
}

void DispatcherFixture::addAbsentServer()
{
  tcp::acceptor closed(context_, { asio::ip::make_address("127.0.0.1"), 0 });
  add("plain", closed.local_endpoint().port());
}

// Fills the queue of connections that wait to be accepted, so that the system drops further ones.
void DispatcherFixture::addUnreachableServer()
{
  constexpr int kQueue = 1;
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  tcp::acceptor& acceptor = fullAcceptors_.emplace_back(context_);
  acceptor.open(any.protocol());
  acceptor.bind(any);
  acceptor.listen(kQueue);
  for (int i = 0; i <= kQueue; ++i) {
    tcp::socket& socket = waitingSockets_.emplace_back(context_);
    socket.connect(acceptor.local_endpoint());
  }
  add("plain", acceptor.local_endpoint().port());
}

void DispatcherFixture::add(const std::string& service, std::uint16_t port)
{
  dispatch::BackendServer server;
  server.id = base::ServerId(service + "-" + std::to_string(port));
  server.born = 1;
  server.service = base::ServiceId(service);
  server.address = "127.0.0.1:" + std::to_string(port);
  server.domain = settings_.domain;
  server.slots = 2;
  servers_[server.id] = server;
}

void DispatcherFixture::publish()
{
  auto view = std::make_shared<dispatch::RoutingView>();
  view->configuration = std::make_shared<dispatch::Configuration>(configuration_);
  view->configurationCurrentAt = clockNow() - configurationAge_;
  view->servers = std::make_shared<std::map<base::ServerId, dispatch::BackendServer>>(servers_);
  view->ownership = std::make_shared<dispatch::OwnershipRecord>(ownership_);
  dispatcher_->publish(std::move(view));
}

Request DispatcherFixture::request(const std::string& method,
                                   const std::string& path,
                                   const std::string& body)
{
  Request request;
  request.method = method;
  request.target = path;
  request.fields.set("Host", "shop.example");
  wire::testing::setCallerHeaders(request.fields, "r" + std::to_string(++nextId_), kPatience, 77);
  request.body = body;
  request.hasBody = !body.empty();
  return request;
}

std::shared_ptr<RequestHandler> DispatcherFixture::begin(Request request,
                                                         Dispatcher::Deliver deliver)
{
  return dispatcher_->handle(std::move(request), clockNow(), std::move(deliver));
}

std::optional<CallerAnswer> DispatcherFixture::sendAndAwait(const std::string& method,
                                                            const std::string& path,
                                                            const std::string& body)
{
  std::optional<CallerAnswer> result;
  const auto run = begin(request(method, path, body),
                         [&result](CallerAnswer answer) { result = std::move(answer); });
  runUntil([&result] { return result.has_value(); });
  return result;
}

bool DispatcherFixture::runUntil(const std::function<bool()>& condition)
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    context_.restart();
    context_.run_one_for(milliseconds(20));
  }
  return condition();
}

std::string headerOf(const CallerAnswer& answer, const std::string& name)
{
  const std::size_t at = answer.headers.find(name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 2;
  return answer.headers.substr(begin, answer.headers.find("\r\n", begin) - begin);
}

} // namespace sycamore::entry
