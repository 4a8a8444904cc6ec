#include "PlatformService.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <base/Error.h>

#include <cstdio>

ABSL_FLAG(int, port, 0, "port on 127.0.0.1; 0 picks a free one");
ABSL_FLAG(double, writes_per_second, 400, "writes admitted per second");
ABSL_FLAG(double, reads_per_second, 2000, "reads and started watches admitted per second");
ABSL_FLAG(std::size_t, max_value_bytes, 1'000'000, "largest value of an object");
ABSL_FLAG(std::size_t, max_connections, 400, "connections served at once");

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  try {
    sycamore::platform_stub::PlatformService service({ absl::GetFlag(FLAGS_writes_per_second),
                                                       absl::GetFlag(FLAGS_reads_per_second),
                                                       absl::GetFlag(FLAGS_max_value_bytes) });
    sycamore::test_http::StubHttpServer server(absl::GetFlag(FLAGS_max_connections));
    service.registerHandlers(server);
    server.bind(absl::GetFlag(FLAGS_port));
    server.announceAndServe();
  } catch (const sycamore::base::Error& error) {
    std::fprintf(stderr, "platform_stub: %s\n", error.what());
    return 1;
  }
  return 0;
}
