#include "ConfigChanger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace sycamore::daemon {

using base::SteadyClock;
using base::TimePoint;
using configuration::ChangeOutcome;
using configuration::ChangeStep;
using configuration::ConfigObject;
using configuration::ReadResult;
using configuration::ReadStep;
using configuration::WriteResult;
using configuration::WriteStep;
using nlohmann::json;
using transport::ExchangeResult;

namespace {

// A call that takes longer is abandoned; its outcome is then unknown and is determined by reading
// the object.
constexpr base::milliseconds kCallTimeout{ 1000 };
constexpr int kStatusConflict = 409;
constexpr int kStatusNotFound = 404;

std::optional<ConfigObject> parseObject(const std::string& text)
{
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("name") || !body.contains("value")) {
    return std::nullopt;
  }
  return ConfigObject{ configuration::ObjectName(body["name"].get<std::string>()),
                       base::Version(body.value("version", std::uint64_t(0))),
                       body["value"].dump() };
}

void waitUntil(TimePoint time)
{
  const auto wait = time - SteadyClock().now();
  if (wait > base::Duration::zero()) {
    std::this_thread::sleep_for(wait);
  }
}

} // namespace

ConfigChanger::ConfigChanger(transport::HttpClientPool& clients, std::string platformAddress)
  : clients_(clients)
  , platformAddress_(std::move(platformAddress))
{
}

ChangeOutcome ConfigChanger::run(const configuration::ConfigChange& change,
                                 std::optional<ConfigObject> known)
{
  configuration::ChangeCoordinator coordinator(change, std::move(known));
  ChangeStep step = coordinator.start(SteadyClock().now());
  for (;;) {
    if (const auto* outcome = std::get_if<ChangeOutcome>(&step)) {
      return *outcome;
    }
    if (const auto* writeStep = std::get_if<WriteStep>(&step)) {
      waitUntil(writeStep->notBefore);
      step = coordinator.onWritten(write(*writeStep, change.deadline), SteadyClock().now());
    } else {
      const ReadStep readStep = std::get<ReadStep>(step);
      waitUntil(readStep.notBefore);
      step = coordinator.onRead(read(readStep, change.deadline), SteadyClock().now());
    }
  }
}

WriteResult ConfigChanger::write(const WriteStep& step, TimePoint deadline)
{
  transport::ClientRequest request;
  request.method = "PUT";
  request.path = "/objects/config/" + step.name.value() +
                 "?if_version=" + std::to_string(step.ifVersion.value());
  request.body = step.value;
  request.headers.emplace_back("Content-Type", "application/json");
  const auto reply = clients_.fetch(
    platformAddress_, request, std::min(deadline, SteadyClock().now() + kCallTimeout));
  WriteResult result;
  if (reply.ok()) {
    const json body = json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("version")) {
      result.kind = WriteResult::Kind::Stored;
      result.version = base::Version(body["version"].get<std::uint64_t>());
    }
    return result;
  }
  if (reply.result == ExchangeResult::NotSent) {
    result.kind = WriteResult::Kind::NotStored;
    result.message = "the platform can't be reached";
    return result;
  }
  if (reply.result != ExchangeResult::Complete || reply.head.status >= 500) {
    return result;
  }
  if (reply.head.status == kStatusConflict) {
    result.kind = WriteResult::Kind::VersionMismatch;
    result.current = parseObject(reply.body);
  } else {
    result.kind = WriteResult::Kind::NotStored;
    result.message =
      "the platform refused the write with status " + std::to_string(reply.head.status);
  }
  return result;
}

ReadResult ConfigChanger::read(const ReadStep& step, TimePoint deadline)
{
  transport::ClientRequest request;
  request.method = "GET";
  request.path = "/objects/config/" + step.name.value();
  const auto reply = clients_.fetch(
    platformAddress_, request, std::min(deadline, SteadyClock().now() + kCallTimeout));
  ReadResult result;
  if (reply.result == ExchangeResult::Complete && reply.head.status == kStatusNotFound) {
    result.kind = ReadResult::Kind::Absent;
  } else if (reply.ok()) {
    result.current = parseObject(reply.body);
    result.kind = result.current ? ReadResult::Kind::Found : ReadResult::Kind::NoAnswer;
  }
  return result;
}

} // namespace sycamore::daemon
