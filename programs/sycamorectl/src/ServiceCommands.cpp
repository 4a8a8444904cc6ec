#include "ChangeReport.h"
#include "Command.h"
#include "CtlError.h"
#include "Files.h"
#include "Flags.h"

#include <absl/flags/flag.h>

namespace sycamore::ctl {

namespace {

using nlohmann::json;

std::string serviceNameIn(const std::string& document)
{
  const json parsed = json::parse(document, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("service") || !parsed["service"].is_string()) {
    throw CtlError(ExitStatus::Usage,
                   "the file isn't a JSON object with a string field \"service\"");
  }
  return parsed["service"].get<std::string>();
}

std::uint64_t requiredBase(const std::string& service)
{
  const std::int64_t base = absl::GetFlag(FLAGS_base);
  if (base <= 0) {
    throw CtlError(
      ExitStatus::Usage,
      "--base must give the version that the change is based on; \"sycamorectl service get " +
        service + "\" shows it");
  }
  return static_cast<std::uint64_t>(base);
}

ExitStatus createService(const Invocation& invocation)
{
  const std::string document = readFile(invocation.arguments[0]);
  const std::string service = serviceNameIn(document);
  const json reply = invocation.session.change("CreateService",
                                               { { "service", service },
                                                 { "document", document },
                                                 { "dry_run", absl::GetFlag(FLAGS_dry_run) } });
  return reportChange(invocation.output, reply, "service get " + service);
}

ExitStatus updateService(const Invocation& invocation)
{
  const std::string document = readFile(invocation.arguments[0]);
  const std::string service = serviceNameIn(document);
  const json reply = invocation.session.change("UpdateService",
                                               { { "service", service },
                                                 { "base_version", requiredBase(service) },
                                                 { "document", document },
                                                 { "dry_run", absl::GetFlag(FLAGS_dry_run) } });
  return reportChange(invocation.output, reply, "service get " + service);
}

ExitStatus deleteService(const Invocation& invocation)
{
  const std::string& service = invocation.arguments[0];
  const json reply = invocation.session.change("DeleteService",
                                               { { "service", service },
                                                 { "base_version", requiredBase(service) },
                                                 { "dry_run", absl::GetFlag(FLAGS_dry_run) } });
  return reportChange(invocation.output, reply, "service get " + service);
}

ExitStatus getService(const Invocation& invocation)
{
  const json reply =
    invocation.session.read("GetService", { { "service", invocation.arguments[0] } });
  invocation.output.printFields(reply, { "name", "version" });
  const json document = json::parse(reply["document"].get<std::string>(), nullptr, false);
  if (!document.is_discarded()) {
    invocation.output.printText(document.dump(2));
  }
  return ExitStatus::Ok;
}

ExitStatus listServices(const Invocation& invocation)
{
  const json reply = invocation.session.read("ListServices", json::object());
  invocation.output.printTable(reply, reply["services"], { "name", "version" });
  return ExitStatus::Ok;
}

ExitStatus watchServices(const Invocation& invocation)
{
  const std::string service = invocation.arguments.empty() ? "" : invocation.arguments[0];
  invocation.session.watchServices(service, [&](const json& object) {
    invocation.output.printEvent(object, { "name", "version", "deleted", "document" });
    return true;
  });
  return ExitStatus::Ok;
}

} // namespace

std::vector<Command> serviceCommands()
{
  return {
    { "service create",
      { "FILE" },
      { "dry_run" },
      "create a service from a JSON document",
      "The service must not exist. \"-\" reads standard input.",
      createService },
    { "service update",
      { "FILE" },
      { "base", "dry_run" },
      "replace a service's document",
      "--base is the version that the document was made from. If another change came first, the "
      "differences are shown and the exit status is 3.",
      updateService },
    { "service delete",
      { "SERVICE" },
      { "base", "dry_run" },
      "delete a service",
      "",
      deleteService },
    { "service get", { "SERVICE" }, {}, "show a service's document and version", "", getService },
    { "service list", {}, {}, "list all services", "", listServices },
    { "service watch",
      { "[SERVICE]" },
      {},
      "print changes as they take effect",
      "Prints the current state first, and ends after --timeout.",
      watchServices },
  };
}

} // namespace sycamore::ctl
