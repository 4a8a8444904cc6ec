#include "BackendService.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <base/Error.h>

#include <cstdio>

ABSL_FLAG(int, port, 0, "port on 127.0.0.1; 0 picks a free one");
ABSL_FLAG(std::string, server, "server-1", "name of this backend server in answers");
ABSL_FLAG(unsigned, slots, 2, "requests executed at once; more are refused as overloaded");
ABSL_FLAG(bool, check_tokens, true, "refuse work without a valid grant for its shard and term");
ABSL_FLAG(int, service_time_ms, 1, "duration of an execution");
ABSL_FLAG(int, cold_ms, 0, "length of the cold period after start");
ABSL_FLAG(unsigned,
          cold_limit,
          1,
          "requests executed at once while the server is cold; more restart the cold period");
ABSL_FLAG(int, lag_ms, 0, "lag of the health and load reports");
ABSL_FLAG(std::string, journal_file, "", "file to which executions are appended as JSON lines");
ABSL_FLAG(std::size_t, max_connections, 300, "connections served at once");

int main(int argc, char** argv)
{
  using sycamore::base::milliseconds;
  absl::ParseCommandLine(argc, argv);
  try {
    sycamore::test_http::StubHttpServer server(absl::GetFlag(FLAGS_max_connections));
    sycamore::backend_stub::BackendService service(
      { absl::GetFlag(FLAGS_server),
        { absl::GetFlag(FLAGS_slots),
          absl::GetFlag(FLAGS_cold_limit),
          milliseconds(absl::GetFlag(FLAGS_cold_ms)) },
        absl::GetFlag(FLAGS_check_tokens),
        milliseconds(absl::GetFlag(FLAGS_service_time_ms)),
        milliseconds(absl::GetFlag(FLAGS_lag_ms)),
        absl::GetFlag(FLAGS_journal_file) },
      server);
    service.registerHandlers();
    server.bind(absl::GetFlag(FLAGS_port));
    server.announceAndServe();
  } catch (const sycamore::base::Error& error) {
    std::fprintf(stderr, "backend_stub: %s\n", error.what());
    return 1;
  }
  return 0;
}
