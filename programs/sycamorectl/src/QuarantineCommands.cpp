#include "ChangeReport.h"
#include "Command.h"
#include "CtlError.h"
#include "Flags.h"

#include <absl/flags/flag.h>

namespace sycamore::ctl {

namespace {

using nlohmann::json;

json listVerdicts(Session& session)
{
  return session.read("ListQuarantine", json::object());
}

// Returns the version given by --base, or the current one if the flag isn't set.
std::uint64_t baseVersionOf(const std::string& id, Session& session)
{
  const std::int64_t base = absl::GetFlag(FLAGS_base);
  if (base >= 0) {
    return static_cast<std::uint64_t>(base);
  }
  const json reply = listVerdicts(session);
  for (const json& verdict : reply["verdicts"]) {
    if (verdict["id"] == id) {
      return verdict["version"].get<std::uint64_t>();
    }
  }
  throw CtlError(ExitStatus::Failed,
                 "there is no quarantined request \"" + id +
                   "\"; \"sycamorectl quarantine list\" shows all of them");
}

ExitStatus listQuarantine(const Invocation& invocation)
{
  const json reply = listVerdicts(invocation.session);
  invocation.output.printTable(
    reply,
    reply["verdicts"],
    { "id", "version", "service", "method", "crashes", "expires_in_ms", "reason" });
  return ExitStatus::Ok;
}

ExitStatus liftQuarantine(const Invocation& invocation)
{
  const std::string& id = invocation.arguments[0];
  const json reply =
    invocation.session.change("LiftQuarantine",
                              { { "id", id },
                                { "base_version", baseVersionOf(id, invocation.session) },
                                { "dry_run", absl::GetFlag(FLAGS_dry_run) } });
  return reportChange(invocation.output, reply, "quarantine list");
}

} // namespace

std::vector<Command> quarantineCommands()
{
  return {
    { "quarantine list",
      {},
      {},
      "list requests that are refused since they crashed servers",
      "",
      listQuarantine },
    { "quarantine lift",
      { "ID" },
      { "base", "dry_run" },
      "let a quarantined request run again",
      "Without --base the current version is read first and used.",
      liftQuarantine },
  };
}

} // namespace sycamore::ctl
