#include "ChangeReport.h"

namespace sycamore::ctl {

namespace {

using nlohmann::json;

std::string adviceFor(const std::string& outcome, const json& reply, const std::string& showCommand)
{
  const std::string version = reply["version"].dump();
  if (outcome == "CONFLICT") {
    return "Nothing was changed. Apply your change to version " + version + " (\"sycamorectl " +
           showCommand + "\") and try again with --base " + version + ".";
  }
  if (outcome == "IN_DOUBT") {
    return "The change may or may not have taken effect. Run \"sycamorectl " + showCommand +
           "\" before trying again.";
  }
  if (outcome == "REFUSED") {
    return "Nothing was changed. Correct the request and try again.";
  }
  return "";
}

ExitStatus statusOf(const std::string& outcome)
{
  if (outcome == "CONFIRMED" || outcome == "PLANNED") {
    return ExitStatus::Ok;
  }
  return outcome == "CONFLICT" ? ExitStatus::Conflict : ExitStatus::Failed;
}

void printLists(Output& output, const json& reply)
{
  if (!reply["faults"].empty()) {
    output.printTable(reply, reply["faults"], { "path", "message" });
  }
  if (!reply["differences"].empty()) {
    output.printTable(reply, reply["differences"], { "path", "yours", "theirs" });
  }
  if (!reply["moves"].empty()) {
    output.printTable(reply, reply["moves"], { "shard", "from", "to" });
  }
}

} // namespace

ExitStatus reportChange(Output& output, const json& reply, const std::string& showCommand)
{
  const auto outcome = reply["outcome"].get<std::string>();
  output.printFields(reply, { "outcome", "version", "message" });
  if (!output.isJson()) {
    printLists(output, reply);
    const std::string advice = adviceFor(outcome, reply, showCommand);
    if (!advice.empty()) {
      output.printText(advice);
    }
  }
  return statusOf(outcome);
}

} // namespace sycamore::ctl
