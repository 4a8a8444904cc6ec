#include <placement/KeyExplanation.h>

#include <chrono>
#include <sstream>

namespace sycamore::placement {

KeyExplanation explainKey(const ShardMap& map,
                          const OwnershipHistory& history,
                          const base::Key& key,
                          base::TimePoint now)
{
  KeyExplanation explanation;
  explanation.key = key;
  explanation.shard = map.shardOf(key);
  explanation.isSplitOut = explanation.shard.value() >= map.shardCount();
  const ShardRow& row = map.row(explanation.shard);
  explanation.owner = map.server(row.owner);
  if (row.successor != kNoServer) {
    explanation.successor = map.server(row.successor);
  }
  explanation.generation = map.generation();
  if (const OwnershipHistory::Record* record = history.find(explanation.shard)) {
    explanation.ownedFor = now - record->movedAt;
    explanation.movedInGeneration = record->generation;
    explanation.reason = record->reason;
  }
  return explanation;
}

std::string describe(const KeyExplanation& explanation)
{
  std::ostringstream out;
  out << "key " << explanation.key << " is in " << (explanation.isSplitOut ? "override " : "shard ")
      << explanation.shard << ", owned by " << explanation.owner.id << " (domain "
      << explanation.owner.entry.domain << ") ";
  if (explanation.ownedFor) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(*explanation.ownedFor);
    out << "for " << seconds.count() << " s since generation " << *explanation.movedInGeneration;
    out << " (" << (explanation.reason ? toString(*explanation.reason) : "reason not seen") << ")";
  } else {
    out << "since before this VM first saw the map";
  }
  if (explanation.successor) {
    out << "; next is " << explanation.successor->id << " (domain "
        << explanation.successor->entry.domain << ")";
  } else {
    out << "; no successor";
  }
  out << "; map generation " << explanation.generation;
  return out.str();
}

} // namespace sycamore::placement
