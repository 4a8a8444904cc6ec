#include "Session.h"

#include "CtlError.h"
#include "Files.h"
#include "Flags.h"

#include <operators/OperatorError.h>

#include <absl/flags/flag.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace sycamore::ctl {

namespace {

using nlohmann::json;
using operators::OperatorError;
using operators::OperatorErrorCode;

// Upper bound for connecting to one server. An unresponsive server must not use up the time for the
// others.
constexpr base::milliseconds kMaxConnectTimeout{ 2000 };

std::vector<std::string> serversFromEnvironment()
{
  const char* text = std::getenv("SYCAMORECTL_SERVER");
  std::vector<std::string> servers;
  std::istringstream list(text == nullptr ? "" : text);
  for (std::string server; std::getline(list, server, ',');) {
    servers.push_back(server);
  }
  return servers;
}

// Returns the content of the file, empty if the path is empty.
std::string readOptionalFile(const std::string& path)
{
  return path.empty() ? "" : readFile(path);
}

operators::OperatorClientSettings settingsFromFlags()
{
  operators::OperatorClientSettings settings;
  settings.token = trimmed(readOptionalFile(absl::GetFlag(FLAGS_token_file)));
  settings.caCertificate = readOptionalFile(absl::GetFlag(FLAGS_ca_file));
  settings.certificate = readOptionalFile(absl::GetFlag(FLAGS_cert_file));
  settings.privateKey = readOptionalFile(absl::GetFlag(FLAGS_key_file));
  settings.serverName = absl::GetFlag(FLAGS_tls_name);
  return settings;
}

std::string adviceFor(OperatorErrorCode code)
{
  switch (code) {
    case OperatorErrorCode::Unauthenticated:
      return "use --token_file to name a file with a token that the server knows";
    case OperatorErrorCode::PermissionDenied:
      return "use a token with the change role, or --dry-run where there is one";
    case OperatorErrorCode::DeadlineExceeded:
      return "try again with a longer --timeout; after a change, get the object first to see "
             "whether it took effect";
    case OperatorErrorCode::Unavailable:
      return "try another --server; after a change, get the object first to see whether it took "
             "effect";
    case OperatorErrorCode::ResourceExhausted:
      return "wait a moment and try again";
    case OperatorErrorCode::Unimplemented:
      return "the server may be of another version; compare \"sycamorectl version\"";
    default:
      return "";
  }
}

[[noreturn]] void failWith(const OperatorError& error)
{
  const std::string advice = adviceFor(error.code());
  throw CtlError(ExitStatus::Failed, error.what() + (advice.empty() ? "" : "\n" + advice));
}

} // namespace

Session::Session()
  : servers_(absl::GetFlag(FLAGS_server))
  , settings_(settingsFromFlags())
  , timeout_(absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_timeout)))
{
  if (servers_.empty()) {
    servers_ = serversFromEnvironment();
  }
  if (servers_.empty()) {
    throw CtlError(ExitStatus::Usage,
                   "no server given; set --server ip:port or SYCAMORECTL_SERVER");
  }
  if (timeout_.count() <= 0) {
    throw CtlError(ExitStatus::Usage, "--timeout must be at least 1ms");
  }
}

json Session::read(const std::string& method, const json& request)
{
  for (;;) {
    try {
      return connectedClient().call(method, request, timeout_);
    } catch (const OperatorError& error) {
      const bool anotherMayAnswer = error.code() == OperatorErrorCode::Unavailable;
      if (!anotherMayAnswer || nextServer_ >= servers_.size()) {
        failWith(error);
      }
      client_.reset();
    }
  }
}

json Session::change(const std::string& method, const json& request)
{
  try {
    return connectedClient().call(method, request, timeout_);
  } catch (const OperatorError& error) {
    failWith(error);
  }
}

void Session::watchServices(const std::string& service,
                            const std::function<bool(const json&)>& onEvent)
{
  try {
    connectedClient().watchServices(service, timeout_, onEvent);
  } catch (const OperatorError& error) {
    failWith(error);
  }
}

operators::OperatorClient& Session::connectedClient()
{
  while (!client_ && nextServer_ < servers_.size()) {
    if (!connectToNextServer()) {
      client_.reset();
    }
  }
  if (!client_) {
    std::string all;
    for (const std::string& server : servers_) {
      all += " " + server;
    }
    throw CtlError(ExitStatus::Unreachable,
                   "no server could be reached:" + all +
                     "\ncheck the addresses, and --ca_file if the servers use TLS");
  }
  return *client_;
}

bool Session::connectToNextServer()
{
  settings_.address = servers_[nextServer_++];
  client_ = std::make_unique<operators::OperatorClient>(settings_);
  return client_->connect(std::min(timeout_, kMaxConnectTimeout));
}

} // namespace sycamore::ctl
