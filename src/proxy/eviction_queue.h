/// @file
/// The order in which client connections are given up when room is needed. No I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace indigorill {

/// What a client connection that holds no RPC is good for; the first are closed first.
enum class EvictionClass {
  lingering,        ///< its last response is out, only the client's close is awaited
  silent,           ///< nothing was sent over it yet
  partial_request,  ///< the head or a part of a request has come
  idle,             ///< it has carried requests, and may carry more
  not_evictable,    ///< it holds an RPC; never in the queue
};

/// Connections that may be closed, by class and by how long they have been of it.
class EvictionQueue {
 public:
  struct Entry {
    EvictionClass eviction_class;
    double since_ms;  ///< when it came into this class
    std::uint64_t connection_id;
    /// By class, then by age, the oldest first.
    bool operator<(const Entry& other) const;
  };

  /// Entries that are not evictable are left out.
  void insert(const Entry& entry);
  void erase(const Entry& entry);
  std::size_t size() const { return entries_.size(); }

  /// The connection that has been of this class for longest, for `min_age_ms` at least, of those that
  /// `may_close` allows; none if there is none.
  std::optional<std::uint64_t> find_oldest(EvictionClass eviction_class, double now_ms, double min_age_ms,
                                           const std::function<bool(std::uint64_t id)>& may_close) const;

 private:
  std::set<Entry> entries_;
};

}  // namespace indigorill
