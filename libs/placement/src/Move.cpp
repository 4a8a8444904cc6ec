#include <placement/Move.h>

namespace sycamore::placement {

std::string_view toString(MoveReason reason)
{
  switch (reason) {
    case MoveReason::ServerLost:
      return "server-lost";
    case MoveReason::ServerLeaving:
      return "server-leaving";
    case MoveReason::DomainOut:
      return "domain-out";
    case MoveReason::KeyCooled:
      return "key-cooled";
    case MoveReason::Fill:
      return "fill";
    case MoveReason::Balance:
      return "balance";
  }
  return "unknown";
}

} // namespace sycamore::placement
