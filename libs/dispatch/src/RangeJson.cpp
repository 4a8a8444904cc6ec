#include <dispatch/RangeJson.h>

namespace sycamore::dispatch {

nlohmann::json writeRanges(const KeyRanges& ranges)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const KeyRange& range : ranges) {
    rows.push_back({ range.from, range.to, range.owner.value(), range.born, range.fence });
  }
  return rows;
}

KeyRanges readRanges(const nlohmann::json& rows)
{
  KeyRanges ranges;
  for (const nlohmann::json& row : rows) {
    ranges.push_back({ row.at(0).get<KeyNumber>(),
                       row.at(1).get<KeyNumber>(),
                       base::ServerId(row.at(2).get<std::string>()),
                       row.at(3).get<std::int64_t>(),
                       row.at(4).get<std::uint64_t>() });
  }
  return ranges;
}

} // namespace sycamore::dispatch
