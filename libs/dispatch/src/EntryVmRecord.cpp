#include <dispatch/EntryVmRecord.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sycamore::dispatch {

namespace {

// Minimum ratio of the next coordinator's capacity to the current one's.
constexpr double kHandoverFactor = 2;

} // namespace

std::string writeEntryVmRecord(const EntryVmRecord& record)
{
  return nlohmann::json{
    { "address", record.address },
    { "domain", record.domain.value() },
    { "capacity", record.capacity }
  }.dump();
}

EntryVmRecord readEntryVmRecord(const std::string& text)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    return { json.at("address").get<std::string>(),
             base::DomainId(json.at("domain").get<std::string>()),
             json.at("capacity").get<double>() };
  } catch (const nlohmann::json::exception& error) {
    throw std::invalid_argument(std::string("record of an entry VM: ") + error.what());
  }
}

void sortBySuccession(std::vector<Candidate>& candidates)
{
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return a.capacity != b.capacity ? a.capacity > b.capacity : a.vm < b.vm;
  });
}

bool isWorthHandover(double ownCapacity, const Candidate& candidate)
{
  return candidate.capacity >= ownCapacity * kHandoverFactor;
}

} // namespace sycamore::dispatch
