#include <test_cluster/BackendServer.h>

#include <test_cluster/JsonCall.h>

#include <fstream>
#include <map>

namespace sycamore::test_cluster {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds kStartTimeout{ 10 };

std::vector<std::string> argumentsOf(const BackendServer::Options& options,
                                     const std::string& directory,
                                     int port)
{
  return { "--port=" + std::to_string(port),
           "--server=" + options.id,
           "--slots=" + std::to_string(options.slots),
           "--service_time_ms=" + std::to_string(options.serviceTimeMs),
           "--journal_file=" + directory + "/" + options.id + ".journal" };
}

Execution executionOf(const std::string& server, const json& line)
{
  Execution execution;
  execution.server = server;
  execution.incarnation = line.at("incarnation").get<std::uint64_t>();
  execution.seq = line.at("seq").get<std::uint64_t>();
  execution.requestId = line.at("request_id").get<std::string>();
  execution.service = line.at("service").get<std::string>();
  execution.method = line.at("method").get<std::string>();
  if (line.at("key").is_string()) {
    execution.key = line.at("key").get<std::string>();
  }
  execution.term = line.at("term").get<std::uint64_t>();
  execution.startNs = line.at("start_ns").get<std::int64_t>();
  execution.endNs = line.at("end_ns").get<std::int64_t>();
  execution.outcome = line.at("outcome").get<std::string>();
  return execution;
}

} // namespace

BackendServer::BackendServer(Options options, const std::string& directory, int port)
  : options_(std::move(options))
  , process_(BACKEND_STUB,
             argumentsOf(options_, directory, port),
             directory + "/" + options_.id + ".log")
  , port_(process_.waitPort(kStartTimeout))
  , address_("127.0.0.1:" + std::to_string(port_))
{
}

void BackendServer::kill()
{
  process_.kill();
  running_ = false;
}

json BackendServer::stats() const
{
  return callJson("GET", address_, "/stats");
}

void BackendServer::setFaults(const json& faults) const
{
  callJson("POST", address_, "/faults", faults);
}

void BackendServer::drain() const
{
  callJson("POST", address_, "/drain");
}

std::vector<Execution> readJournal(const std::string& server, const std::string& path)
{
  std::map<std::pair<std::uint64_t, std::uint64_t>, Execution> latest;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const json value = json::parse(line, nullptr, false);
    // The last line of a killed server's journal may be incomplete.
    if (value.is_object()) {
      Execution execution = executionOf(server, value);
      latest[{ execution.incarnation, execution.seq }] = std::move(execution);
    }
  }
  std::vector<Execution> executions;
  for (auto& [id, execution] : latest) {
    executions.push_back(std::move(execution));
  }
  return executions;
}

} // namespace sycamore::test_cluster
