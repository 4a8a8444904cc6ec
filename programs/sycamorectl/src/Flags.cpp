#include "Flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

// --help is defined here, since Abseil's usage library, which has a flag of this name, isn't linked
// in.
ABSL_FLAG(std::vector<std::string>,
          server,
          {},
          "ip:port of an entry VM's operator port; several, separated by commas, are tried in "
          "order; without this flag SYCAMORECTL_SERVER is used");
ABSL_FLAG(std::string, token_file, "", "file that holds the operator's token");
ABSL_FLAG(std::string, ca_file, "", "PEM file of the CA that signed the servers' certificates");
ABSL_FLAG(std::string, tls_name, "", "name in the servers' certificates, if it isn't the address");
ABSL_FLAG(std::string,
          cert_file,
          "",
          "PEM file of the operator's own certificate, if servers need one");
ABSL_FLAG(std::string, key_file, "", "PEM file of the private key of --cert_file");
ABSL_FLAG(std::string, output, "table", "output format, table or json");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(5), "time limit of a call, such as 500ms or 5s");
ABSL_FLAG(bool, help, false, "show help");
ABSL_FLAG(bool, dry_run, false, "check the change and show its effect, but change nothing");
ABSL_FLAG(std::int64_t, base, -1, "version that the change is based on");
ABSL_FLAG(std::string, reason, "", "reason for the change, shown to other operators");
ABSL_FLAG(std::string, from, "", "backend server to move shards from");
ABSL_FLAG(std::string, to, "", "backend server to move shards to");
ABSL_FLAG(std::string, shards, "", "shards to move, such as 1,4,10-19");
ABSL_FLAG(std::string, html, "", "file to which the burn report is written as an HTML page");

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
