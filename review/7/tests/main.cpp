#include "../../stand-ins-2/tests/Site.h"

using namespace review;

namespace {

// Spoils the bytes of the answer's Handover header.
std::string spoiled(std::string answer)
{
  constexpr std::size_t kSpoiledBytes = 8;
  const std::string name = "Handover: ";
  const std::size_t at = answer.find(name);
  for (std::size_t i = 0; at != std::string::npos && i < kSpoiledBytes; ++i) {
    char& byte = answer[at + name.size() + i];
    byte = static_cast<char>(static_cast<unsigned char>(byte) | 0x80);
  }
  return answer;
}

int run(Site& site, bool hasTrouble, Record& record)
{
  KeptConnections kept(record, site.instances());
  for (const auto& vm : site.vms()) {
    for (int i = 0; i < 6; ++i) {
      kept.add(*vm, site.orderRoute(), 700);
    }
    for (const char* const key : { "9000", "29000" }) {
      kept.add(*vm, site.readRoute(), 20, "Shard-Key: " + std::string(key) + "\r\n");
    }
  }
  site.watch(8000);
  // Scale-in is planned work. One spoiled answer among all that the instance has given until then.
  Instance& leaving = *site.instances().front();
  std::atomic<bool> isSpoiled{ false };
  if (hasTrouble) {
    leaving.setSpoil([&](const Message& request, std::string answer) {
      if (request.word(1) != "/v1/release" || isSpoiled.exchange(true)) {
        return answer;
      }
      record.write(leaving.id() + " spoils its answer to a release, the last of " +
                   std::to_string(leaving.answers()) + " answers");
      return spoiled(std::move(answer));
    });
  }
  leaving.drain();
  site.watch(8000);
  kept.stop();
  record.write(std::to_string(kept.served()) + " requests served; " + std::to_string(kept.lost()) +
               " passed on from a kept connection that was closed without an answer; " +
               std::to_string(site.ends()) + " processes ended by themselves");
  return kept.lost() > 3 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
  runCase(argc, argv, run);
}
