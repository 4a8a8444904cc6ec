#include "Command.h"

namespace sycamore::ctl {

const std::vector<Command>& allCommands()
{
  static const std::vector<Command> kCommands = [] {
    std::vector<Command> all;
    for (const auto& group : { serviceCommands(),
                               domainCommands(),
                               placementCommands(),
                               quarantineCommands(),
                               statusCommands() }) {
      all.insert(all.end(), group.begin(), group.end());
    }
    return all;
  }();
  return kCommands;
}

} // namespace sycamore::ctl
