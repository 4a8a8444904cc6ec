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

// Time to reach one server; a silent one must not use up the time for the others.
constexpr base::milliseconds kMaxConnectTime{ 2000 };

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

// The file's text, empty if no file is named.
std::string contentOf(const std::string& path)
{
  return path.empty() ? "" : readFile(path);
}

operators::OperatorClientSettings settingsFromFlags()
{
  operators::OperatorClientSettings settings;
  settings.token = withoutSpaceAtEnds(contentOf(absl::GetFlag(FLAGS_token_file)));
  settings.caCertificate = contentOf(absl::GetFlag(FLAGS_ca_file));
  settings.certificate = contentOf(absl::GetFlag(FLAGS_cert_file));
  settings.privateKey = contentOf(absl::GetFlag(FLAGS_key_file));
  settings.serverName = absl::GetFlag(FLAGS_tls_name);
  return settings;
}

std::string adviceFor(OperatorErrorCode code)
{
  switch (code) {
    case OperatorErrorCode::Unauthenticated:
      return "name a file with a known token by --token_file";
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
    throw CtlError(ExitStatus::Usage, "name a server by --server ip:port or SYCAMORECTL_SERVER");
  }
  if (timeout_.count() <= 0) {
    throw CtlError(ExitStatus::Usage, "--timeout must be at least 1ms");
  }
}

json Session::read(const std::string& method, const json& request)
{
  for (;;) {
    try {
      return connected().call(method, request, timeout_);
    } catch (const OperatorError& error) {
      const bool anotherMayAnswer = error.code() == OperatorErrorCode::Unavailable;
      if (!anotherMayAnswer || next_ >= servers_.size()) {
        failWith(error);
      }
      client_.reset();
    }
  }
}

json Session::change(const std::string& method, const json& request)
{
  try {
    return connected().call(method, request, timeout_);
  } catch (const OperatorError& error) {
    failWith(error);
  }
}

void Session::watchServices(const std::string& service,
                            const std::function<bool(const json&)>& onEvent)
{
  try {
    connected().watchServices(service, timeout_, onEvent);
  } catch (const OperatorError& error) {
    failWith(error);
  }
}

operators::OperatorClient& Session::connected()
{
  while (!client_ && next_ < servers_.size()) {
    if (!connectNext()) {
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

bool Session::connectNext()
{
  settings_.address = servers_[next_++];
  client_ = std::make_unique<operators::OperatorClient>(settings_);
  return client_->connect(std::min(timeout_, kMaxConnectTime));
}

} // namespace sycamore::ctl
