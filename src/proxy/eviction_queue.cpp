#include "proxy/eviction_queue.h"

#include <tuple>

namespace indigorill {

bool EvictionQueue::Entry::operator<(const Entry& other) const {
  return std::tie(eviction_class, since_ms, connection_id) <
         std::tie(other.eviction_class, other.since_ms, other.connection_id);
}

void EvictionQueue::insert(const Entry& entry) {
  if (entry.eviction_class != EvictionClass::not_evictable) entries_.insert(entry);
}

void EvictionQueue::erase(const Entry& entry) {
  if (entry.eviction_class != EvictionClass::not_evictable) entries_.erase(entry);
}

std::optional<std::uint64_t> EvictionQueue::find_oldest(
    EvictionClass eviction_class, double now_ms, double min_age_ms,
    const std::function<bool(std::uint64_t id)>& may_close) const {
  const Entry first{.eviction_class = eviction_class, .since_ms = 0, .connection_id = 0};
  for (auto it = entries_.lower_bound(first); it != entries_.end(); ++it) {
    if (it->eviction_class != eviction_class || now_ms < it->since_ms + min_age_ms) return std::nullopt;
    if (may_close(it->connection_id)) return it->connection_id;
  }
  return std::nullopt;
}

}  // namespace indigorill
