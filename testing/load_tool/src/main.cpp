#include "LoadRun.h"
#include "LoadSummary.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <base/Error.h>

#include <cstdio>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::vector<std::string>, targets, {}, "caller addresses of entry VMs, ip:port,...");
ABSL_FLAG(std::string, service, "layout", "service to call");
ABSL_FLAG(std::string, method, "plan", "method to call");
ABSL_FLAG(std::size_t, threads, 8, "number of callers; each sends one request after another");
ABSL_FLAG(std::size_t, keys, 200, "number of distinct keys");
ABSL_FLAG(double, zipf, 0, "exponent of the Zipf distribution of keys; 0 is uniform");
ABSL_FLAG(int, duration_ms, 3000, "length of the run");
ABSL_FLAG(int, pause_ms, 2, "pause of a caller between requests");
ABSL_FLAG(int, deadline_ms, 2000, "deadline of a request");
ABSL_FLAG(std::size_t, body_bytes, 64, "size of a request body");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices");

int main(int argc, char** argv)
{
  using std::chrono::milliseconds;
  absl::SetProgramUsageMessage(
    "Sends requests to entry VMs and prints a summary of their outcomes as one line of JSON.");
  absl::ParseCommandLine(argc, argv);
  sycamore::load_tool::LoadOptions options;
  options.targets = absl::GetFlag(FLAGS_targets);
  options.service = absl::GetFlag(FLAGS_service);
  options.method = absl::GetFlag(FLAGS_method);
  options.threads = absl::GetFlag(FLAGS_threads);
  options.keys = absl::GetFlag(FLAGS_keys);
  options.zipf = absl::GetFlag(FLAGS_zipf);
  options.duration = milliseconds(absl::GetFlag(FLAGS_duration_ms));
  options.pause = milliseconds(absl::GetFlag(FLAGS_pause_ms));
  options.deadline = milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  options.bodyBytes = absl::GetFlag(FLAGS_body_bytes);
  options.seed = absl::GetFlag(FLAGS_seed);
  if (options.targets.empty()) {
    std::fprintf(stderr, "load_tool: --targets=ip:port,... is required\n");
    return 2;
  }
  try {
    sycamore::load_tool::LoadRun run(options);
    std::printf("%s\n", sycamore::load_tool::summarize(run.run()).dump().c_str());
  } catch (const sycamore::base::Error& error) {
    std::fprintf(stderr, "load_tool: %s\n", error.what());
    return 1;
  }
  return 0;
}
