#include "ChangeReport.h"
#include "Command.h"
#include "CtlError.h"
#include "Flags.h"

#include <absl/flags/flag.h>

namespace sycamore::ctl {

namespace {

using nlohmann::json;

ExitStatus listDomains(const Invocation& invocation)
{
  const json reply = invocation.session.read("ListDomains", json::object());
  invocation.output.printTable(
    reply, reply["domains"], { "domain", "state", "version", "entry_vms", "servers" });
  return ExitStatus::Ok;
}

// Returns the version given by --base, or the current one if the flag isn't set. Defaulting to the
// current version is safe, since taking a domain out or in doesn't depend on the rest of its
// document.
std::uint64_t baseVersionOf(const std::string& domain, Session& session)
{
  const std::int64_t base = absl::GetFlag(FLAGS_base);
  if (base >= 0) {
    return static_cast<std::uint64_t>(base);
  }
  const json reply = session.read("ListDomains", json::object());
  for (const json& row : reply["domains"]) {
    if (row["domain"] == domain) {
      return row["version"].get<std::uint64_t>();
    }
  }
  throw CtlError(ExitStatus::Failed,
                 "there is no failure domain \"" + domain +
                   "\"; \"sycamorectl domain list\" shows all of them");
}

ExitStatus changeDomain(const Invocation& invocation, const std::string& method)
{
  const std::string& domain = invocation.arguments[0];
  const json reply =
    invocation.session.change(method,
                              { { "domain", domain },
                                { "base_version", baseVersionOf(domain, invocation.session) },
                                { "reason", absl::GetFlag(FLAGS_reason) },
                                { "dry_run", absl::GetFlag(FLAGS_dry_run) } });
  return reportChange(invocation.output, reply, "domain list");
}

ExitStatus takeDomainOut(const Invocation& invocation)
{
  return changeDomain(invocation, "TakeDomainOut");
}

ExitStatus bringDomainBack(const Invocation& invocation)
{
  return changeDomain(invocation, "BringDomainBack");
}

} // namespace

std::vector<Command> domainCommands()
{
  return {
    { "domain list", {}, {}, "list failure domains and their state", "", listDomains },
    { "domain out",
      { "DOMAIN" },
      { "base", "reason", "dry_run" },
      "take a failure domain out of service",
      "Within about 3 s its backend servers stop getting new requests. Without --base the current "
      "version is read first and used.",
      takeDomainOut },
    { "domain in",
      { "DOMAIN" },
      { "base", "reason", "dry_run" },
      "bring a failure domain back into service",
      "Without --base the current version is read first and used.",
      bringDomainBack },
  };
}

} // namespace sycamore::ctl
