#include "ChangeReport.h"
#include "Command.h"
#include "CtlError.h"
#include "Flags.h"
#include "ShardList.h"

#include <absl/flags/flag.h>

namespace sycamore::ctl {

namespace {

using nlohmann::json;

json placementOf(const std::string& service, Session& session)
{
  return session.read("ShowPlacement", { { "service", service } });
}

// Returns the generation given by --base, or the current one if the flag isn't set.
json baseVersionOf(const std::string& service, Session& session)
{
  const std::int64_t base = absl::GetFlag(FLAGS_base);
  return base >= 0 ? json(static_cast<std::uint64_t>(base))
                   : placementOf(service, session)["generation"];
}

json serviceQuery(const Invocation& invocation)
{
  return { { "service", invocation.arguments.empty() ? "" : invocation.arguments[0] } };
}

ExitStatus showPlacement(const Invocation& invocation)
{
  const json reply = placementOf(invocation.arguments[0], invocation.session);
  invocation.output.printText("generation " + reply["generation"].dump());
  invocation.output.printTable(reply, reply["shards"], { "shard", "key", "owner", "successor" });
  return ExitStatus::Ok;
}

ExitStatus planMove(const Invocation& invocation)
{
  const std::string& service = invocation.arguments[0];
  const auto shards = parseShards(absl::GetFlag(FLAGS_shards));
  const std::string from = absl::GetFlag(FLAGS_from);
  if (shards.empty() && from.empty()) {
    throw CtlError(ExitStatus::Usage, "--shards or --from must say what to move");
  }
  const json reply =
    invocation.session.change("PlanMove",
                              { { "service", service },
                                { "base_version", baseVersionOf(service, invocation.session) },
                                { "shards", shards },
                                { "from", from },
                                { "to", absl::GetFlag(FLAGS_to) },
                                { "dry_run", absl::GetFlag(FLAGS_dry_run) } });
  return reportChange(invocation.output, reply, "placement show " + service);
}

ExitStatus drainServer(const Invocation& invocation)
{
  const std::string& service = invocation.arguments[0];
  const json reply =
    invocation.session.change("DrainServer",
                              { { "service", service },
                                { "server", invocation.arguments[1] },
                                { "base_version", baseVersionOf(service, invocation.session) },
                                { "dry_run", absl::GetFlag(FLAGS_dry_run) } });
  return reportChange(invocation.output, reply, "placement show " + service);
}

ExitStatus explainKey(const Invocation& invocation)
{
  const json reply = invocation.session.read(
    "ExplainKey", { { "service", invocation.arguments[0] }, { "key", invocation.arguments[1] } });
  invocation.output.printFields(reply,
                                { "owner",
                                  "state",
                                  "since_ms",
                                  "since_generation",
                                  "why",
                                  "successor",
                                  "holder",
                                  "term",
                                  "shard",
                                  "hot_key" });
  return ExitStatus::Ok;
}

ExitStatus listOwners(const Invocation& invocation)
{
  const json reply = invocation.session.read("ListOwners", serviceQuery(invocation));
  invocation.output.printTable(
    reply, reply["owners"], { "service", "server", "domain", "shards", "hot_keys" });
  return ExitStatus::Ok;
}

ExitStatus listTenancies(const Invocation& invocation)
{
  const json reply = invocation.session.read("ListTenancies", serviceQuery(invocation));
  invocation.output.printTable(
    reply,
    reply["tenancies"],
    { "service", "server", "holder", "term", "kind", "remaining_ms", "voters" });
  return ExitStatus::Ok;
}

ExitStatus listMoves(const Invocation& invocation)
{
  const json reply = invocation.session.read("ListMoves", serviceQuery(invocation));
  invocation.output.printTable(
    reply, reply["moves"], { "service", "shard", "from", "to", "state", "age_ms", "why" });
  return ExitStatus::Ok;
}

} // namespace

std::vector<Command> placementCommands()
{
  return {
    { "placement show",
      { "SERVICE" },
      {},
      "show each shard's owner and successor",
      "",
      showPlacement },
    { "placement plan",
      { "SERVICE" },
      { "base", "shards", "from", "to", "dry_run" },
      "move shards between backend servers",
      "--base is the generation of the shard map; without it the current one is read first and "
      "used. --dry-run only shows the moves.",
      planMove },
    { "server drain",
      { "SERVICE", "SERVER" },
      { "base", "dry_run" },
      "move all shards of a backend server away",
      "Without --base the current generation of the shard map is read first and used.",
      drainServer },
    { "explain",
      { "SERVICE", "KEY" },
      {},
      "show a key's owner, since when and why it is the owner, and its successor",
      "",
      explainKey },
    { "owners",
      { "[SERVICE]" },
      {},
      "list backend servers and the number of shards they own",
      "",
      listOwners },
    { "tenancies",
      { "[SERVICE]" },
      {},
      "list which entry VM holds the tenancy of which backend server",
      "",
      listTenancies },
    { "moves", { "[SERVICE]" }, {}, "list running and recent moves of shards", "", listMoves },
  };
}

} // namespace sycamore::ctl
