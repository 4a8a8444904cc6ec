#include "Flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

// The flag `help` of Abseil's usage library isn't linked in; this one serves all commands.
ABSL_FLAG(std::vector<std::string>,
          server,
          {},
          "ip:port of an entry VM's operator port; several, separated by commas, are tried in "
          "order; SYCAMORECTL_SERVER is used if it is absent");
ABSL_FLAG(std::string, token_file, "", "file that holds the operator's token");
ABSL_FLAG(std::string, ca_file, "", "PEM file of the authority of the servers' certificates");
ABSL_FLAG(std::string, tls_name, "", "name in the servers' certificates, if not the address");
ABSL_FLAG(std::string, cert_file, "", "PEM file of the operator's own certificate, if asked for");
ABSL_FLAG(std::string, key_file, "", "PEM file of that certificate's key");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(5), "time for the call, such as 500ms or 5s");
ABSL_FLAG(bool, help, false, "show help");
ABSL_FLAG(bool, dry_run, false, "check the change and show its effect, but change nothing");
ABSL_FLAG(std::int64_t, base, -1, "version that the change is based on");
ABSL_FLAG(std::string, reason, "", "shown to other operators");
ABSL_FLAG(std::string, from, "", "backend server to move shards from");
ABSL_FLAG(std::string, to, "", "backend server to move shards to");
ABSL_FLAG(std::string, shards, "", "shards to move, such as 1,4,10-19");
ABSL_FLAG(std::string, html, "", "file that the burn report is written to as a page");

namespace sycamore::ctl {

const std::vector<std::string>& commonFlags()
{
  static const std::vector<std::string> kFlags = { "server",   "token_file", "ca_file",
                                                   "tls_name", "cert_file",  "key_file",
                                                   "output",   "timeout",    "help" };
  return kFlags;
}

std::string describeFlag(const std::string& name)
{
  const auto* flag = absl::FindCommandLineFlag(name);
  if (flag == nullptr) {
    return "";
  }
  const std::string defaultValue = flag->DefaultValue();
  return flag->Help() + (defaultValue.empty() ? "" : " [" + defaultValue + "]");
}

} // namespace sycamore::ctl
