#include "Deployment.h"

// An instance crashes and starts again under the id and at the address that it had, as the pages
// allow. No two instances may then hold the same keys for over half a second.
namespace {

using namespace review;

bool run(const std::string& root, Record& record)
{
  Deployment::Sizes sizes;
  sizes.keyedServers = 8;
  Deployment deployment(root, record, sizes);
  if (!deployment.awaitService(25)) {
    throw std::runtime_error("the deployment didn't come into service");
  }
  HoldWatch watch(deployment, record);
  sleepFor(4);
  constexpr double kDownSeconds = 1.0;
  for (std::size_t round = 0; round < 3; ++round) {
    if (isTroubled()) {
      Server& server = *deployment.servers()[round];
      server.crash();
      sleepFor(kDownSeconds);
      server.start();
    }
    sleepFor(7);
  }
  watch.stop();
  record.line("summary",
              { { "longest_time_held_twice_s", watch.longest() },
                { "keys_held_twice_over_half_a_second", watch.keysOverHalfSecond() } });
  return watch.keysOverHalfSecond() > 0;
}

} // namespace

int main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
