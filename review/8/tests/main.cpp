#include "../../stand-ins-2/tests/Site.h"

using namespace review;

namespace {

constexpr unsigned kHeaderBytes = 131072;

// Sends one request with a header of 66,000 bytes to the VM.
void sendLong(const EntryVm& vm, const Route& route, Record& record)
{
  const std::string id = nextRequestId();
  Socket socket = connectTo(vm.settings().ip, vm.settings().front);
  Message answer;
  const bool isAnswered =
    socket.isOpen() &&
    socket.write("GET /a/long HTTP/1.1\r\nHost: " + route.host + "\r\nRequest-Id: " + id +
                 "\r\nDeadline-Ms: 5000\r\nShard-Key: 9000\r\nWork-Ms: 20\r\nCookie: " +
                 std::string(66000, 'x') + "\r\n\r\n") &&
    socket.read(answer, Clock::now() + std::chrono::seconds(5));
  record.write(id + " with a header of 66000 bytes, sent to " + vm.settings().name +
               (isAnswered ? ", is answered " + std::to_string(answer.status())
                           : ", ends with a closed connection"));
}

int run(Site& site, bool hasTrouble, Record& record)
{
  KeptConnections kept(record, site.instances());
  for (const auto& vm : site.vms()) {
    for (int i = 0; i < 6; ++i) {
      kept.add(*vm, site.orderRoute(), 700);
    }
  }
  site.watch(4000);
  if (hasTrouble) {
    site.store().put("config", "main", configOf(9, site.routes(), "lineal", kHeaderBytes));
    record.write("config 9 with max_header_bytes 131072 is confirmed");
  }
  // More than config_apply_s.
  site.watch(4000);
  for (const auto& vm : site.vms()) {
    sendLong(*vm, site.readRoute(), record);
    site.watch(2000);
  }
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
