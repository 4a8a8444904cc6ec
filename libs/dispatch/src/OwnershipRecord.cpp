#include <dispatch/OwnershipRecord.h>

#include <base/Error.h>
#include <dispatch/RangeJson.h>

#include <algorithm>

namespace sycamore::dispatch {

const KeyRange* findRange(const KeyRanges& ranges, KeyNumber key)
{
  const auto after = std::upper_bound(
    ranges.begin(), ranges.end(), key, [](KeyNumber k, const KeyRange& r) { return k < r.from; });
  if (after == ranges.begin()) {
    return nullptr;
  }
  const KeyRange& range = *std::prev(after);
  return key <= range.to ? &range : nullptr;
}

void mergeAdjacentRanges(KeyRanges& ranges)
{
  KeyRanges merged;
  for (const KeyRange& range : ranges) {
    if (!merged.empty() && merged.back().owner == range.owner && merged.back().born == range.born &&
        merged.back().fence == range.fence) {
      merged.back().to = range.to;
    } else {
      merged.push_back(range);
    }
  }
  ranges = std::move(merged);
}

void splitRange(KeyRanges& ranges, KeyNumber at)
{
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    if (ranges[i].from < at && at <= ranges[i].to) {
      KeyRange second = ranges[i];
      second.from = at;
      ranges[i].to = static_cast<KeyNumber>(at - 1);
      ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1, second);
      return;
    }
  }
}

std::string writeOwnershipRecord(const OwnershipRecord& record)
{
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [service, ranges] : record.services) {
    services[service.value()] = writeRanges(ranges);
  }
  const nlohmann::json json{ { "epoch", record.epoch },
                             { "vm", record.coordinator.vm.value() },
                             { "run", record.coordinator.run },
                             { "address", record.coordinator.address },
                             { "settled", record.previousCoordinatorsStopped },
                             { "era", record.era },
                             { "fence_floor", record.fenceFloor },
                             { "may_lack_owners", record.mayLackOwners },
                             { "ranges", services } };
  return json.dump();
}

OwnershipRecord readOwnershipRecord(const std::string& text)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    OwnershipRecord record;
    record.epoch = json.at("epoch").get<std::uint64_t>();
    record.coordinator = { base::VmId(json.at("vm").get<std::string>()),
                           json.at("run").get<std::uint64_t>(),
                           json.at("address").get<std::string>() };
    record.previousCoordinatorsStopped = json.at("settled").get<bool>();
    // Records of earlier versions lack these.
    record.era = json.value("era", std::uint64_t{ 0 });
    record.fenceFloor = json.value("fence_floor", std::uint64_t{ 0 });
    record.mayLackOwners = json.value("may_lack_owners", false);
    for (const auto& [service, rows] : json.at("ranges").items()) {
      record.services[base::ServiceId(service)] = readRanges(rows);
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw base::Error(std::string("ownership record: ") + error.what());
  }
}

} // namespace sycamore::dispatch
