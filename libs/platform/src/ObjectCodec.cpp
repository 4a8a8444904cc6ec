#include <platform/ObjectCodec.h>
#include <platform/PlatformError.h>

#include <algorithm>
#include <cctype>

namespace sycamore::platform {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;

const std::string& validatedName(const std::string& name)
{
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  };
  if (name.empty() || name.size() > kMaxNameLength ||
      !std::all_of(name.begin(), name.end(), allowed)) {
    throw CallRefused("\"" + name + "\" is not a valid kind or name of an object");
  }
  return name;
}

// Parses the body and applies the reader to it; converts errors of the JSON library to
// MalformedAnswer.
template<typename Reader>
auto readAnswer(const std::string& body, Reader reader)
{
  try {
    return reader(json::parse(body));
  } catch (const json::exception& error) {
    throw MalformedAnswer(std::string("malformed answer of the platform: ") + error.what());
  }
}

StoredObject toObject(const json& object)
{
  return { object.at("kind").get<std::string>(),
           object.at("name").get<std::string>(),
           base::Version(object.at("version").get<std::uint64_t>()),
           object.at("value") };
}

std::vector<StoredObject> toObjects(const json& objects)
{
  std::vector<StoredObject> found;
  for (const json& object : objects) {
    found.push_back(toObject(object));
  }
  return found;
}

Revision toRevision(const json& answer)
{
  return Revision(answer.at("revision").get<std::uint64_t>());
}

template<typename Enum>
Enum toEnum(const json& value,
            const char* first,
            Enum firstValue,
            const char* second,
            Enum secondValue)
{
  const auto& text = value.get_ref<const std::string&>();
  if (text != first && text != second) {
    throw MalformedAnswer("unexpected value \"" + text + "\" in the list of VMs");
  }
  return text == first ? firstValue : secondValue;
}

VmRecord toVm(const json& vm)
{
  using Role = VmRecord::Role;
  using State = VmRecord::State;
  return { vm.at("id").get<std::string>(),
           toEnum(vm.at("role"), "entry", Role::Entry, "backend", Role::Backend),
           toEnum(vm.at("state"), "live", State::Live, "leaving", State::Leaving),
           base::DomainId(vm.at("domain").get<std::string>()),
           base::ServiceId(vm.value("service", "")),
           vm.at("address").get<std::string>(),
           vm.value("peer_address", ""),
           vm.value("operator_address", "") };
}

} // namespace

std::string ObjectCodec::objectTarget(const std::string& kind, const std::string& name)
{
  return listTarget(kind) + "/" + validatedName(name);
}

std::string ObjectCodec::listTarget(const std::string& kind)
{
  return "/objects/" + validatedName(kind);
}

std::string ObjectCodec::writeTarget(const std::string& kind,
                                     const std::string& name,
                                     base::Version expected)
{
  return objectTarget(kind, name) + "?if_version=" + std::to_string(expected.value());
}

std::string ObjectCodec::watchTarget(const std::string& kind, Revision after, base::Duration wait)
{
  const auto waitMs = std::chrono::floor<base::milliseconds>(wait).count();
  return "/watch/" + validatedName(kind) + "?after=" + std::to_string(after.value()) +
         "&timeout_ms=" + std::to_string(std::max<std::int64_t>(waitMs, 0));
}

const std::string& ObjectCodec::bodyOf(const HttpReply& reply)
{
  const std::string message = "the platform answered with status " + std::to_string(reply.status);
  if (reply.status == kOk) {
    return reply.body;
  }
  if (reply.status == kTooManyRequests) {
    throw RateLimited(message);
  }
  if (reply.status == kGone) {
    throw RevisionUnknown(message);
  }
  if (reply.status >= kServerError) {
    throw Unavailable(message);
  }
  throw CallRefused(message);
}

StoredObject ObjectCodec::readObject(const std::string& body)
{
  return readAnswer(body, toObject);
}

ObjectList ObjectCodec::readList(const std::string& body)
{
  return readAnswer(body, [](const json& answer) {
    return ObjectList{ toRevision(answer), toObjects(answer.at("objects")) };
  });
}

ObjectChanges ObjectCodec::readChanges(const std::string& body)
{
  return readAnswer(body, [](const json& answer) {
    return ObjectChanges{ toRevision(answer),
                          toObjects(answer.at("objects")),
                          answer.at("deleted").get<std::vector<std::string>>() };
  });
}

std::vector<VmRecord> ObjectCodec::readVms(const std::string& body)
{
  return readAnswer(body, [](const json& answer) {
    std::vector<VmRecord> vms;
    for (const json& vm : answer.at("vms")) {
      vms.push_back(toVm(vm));
    }
    return vms;
  });
}

WriteResult ObjectCodec::readWriteReply(const HttpReply& reply, const std::string& token)
{
  if (reply.status >= kServerError) {
    return InDoubt{};
  }
  try {
    if (reply.status == kConflict) {
      return resolve(readObject(reply.body), token, false);
    }
    return readAnswer(bodyOf(reply), [](const json& answer) -> WriteResult {
      return Confirmed{ base::Version(answer.at("version").get<std::uint64_t>()) };
    });
  } catch (const MalformedAnswer&) {
    return InDoubt{};
  }
}

WriteResult ObjectCodec::resolve(const StoredObject& current,
                                 const std::string& token,
                                 bool answerWasLost)
{
  const json& value = current.value;
  if (!token.empty() && value.is_object() && value.value("writer", json()) == json(token)) {
    return Confirmed{ current.version };
  }
  return Conflict{ current, answerWasLost };
}

std::string ObjectCodec::writerToken(const json& value)
{
  const auto found = value.is_object() ? value.find("writer") : value.end();
  if (found == value.end() || !found->is_string() || found->get_ref<const std::string&>().empty()) {
    throw CallRefused("the value has no writer token in the field \"writer\"");
  }
  return found->get<std::string>();
}

} // namespace sycamore::platform
