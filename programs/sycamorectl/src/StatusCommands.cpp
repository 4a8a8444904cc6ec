#include "ChangeReport.h"
#include "Command.h"
#include "Files.h"
#include "Flags.h"

#include <absl/flags/flag.h>

namespace sycamore::ctl {

namespace {

using nlohmann::json;

ExitStatus configStatus(const Invocation& invocation)
{
  Output& output = invocation.output;
  const json reply = invocation.session.read("GetConfigStatus", json::object());
  output.printTable(reply, reply["vms"], { "vm", "domain", "digest", "in_sync", "heard_ms_ago" });
  if (output.isJson()) {
    return ExitStatus::Ok;
  }
  output.printText("");
  output.printTable(reply, reply["objects"], { "name", "version", "deleted" });
  if (!reply["unusable"].empty()) {
    output.printText("\nStored objects that can't be used; the last usable version stays in use:");
    output.printTable(reply, reply["unusable"], { "name", "version", "version_in_use", "faults" });
  }
  output.printText(std::string("\nplatform ") +
                   (reply["platform_reachable"].get<bool>() ? "reachable" : "not reachable"));
  return ExitStatus::Ok;
}

ExitStatus burnReport(const Invocation& invocation)
{
  const std::string page = absl::GetFlag(FLAGS_html);
  json reply = invocation.session.read(
    "GetBurnReport",
    { { "service", invocation.arguments.empty() ? "" : invocation.arguments[0] },
      { "html", !page.empty() } });
  if (!page.empty()) {
    writeFile(page, reply["html"].get<std::string>());
  }
  reply.erase("html");
  invocation.output.printTable(
    reply,
    reply["rows"],
    { "service", "window", "good_ratio", "objective", "burn_rate", "requests" });
  return ExitStatus::Ok;
}

ExitStatus setLogLevel(const Invocation& invocation)
{
  const json reply =
    invocation.session.change("SetLogLevel", { { "level", invocation.arguments[0] } });
  return reportChange(invocation.output, reply, "loglevel --help");
}

ExitStatus showVersion(const Invocation& invocation)
{
  json reply = invocation.session.read("GetVersion", json::object());
  reply["client"] = SYCAMORECTL_VERSION;
  invocation.output.printFields(reply, { "client", "version", "vm" });
  return ExitStatus::Ok;
}

} // namespace

std::vector<Command> statusCommands()
{
  return {
    { "config status", {}, {}, "show which VM has which configuration", "", configStatus },
    { "burn",
      { "[SERVICE]" },
      { "html" },
      "show how fast services use up their error budgets",
      "--html also writes the report to a file, as an HTML page.",
      burnReport },
    { "loglevel",
      { "LEVEL" },
      {},
      "set the log level of the server that answers",
      "LEVEL is debug, info, warning or error. The level lasts until the daemon restarts.",
      setLogLevel },
    { "version", {}, {}, "show the versions of client and server", "", showVersion },
  };
}

} // namespace sycamore::ctl
