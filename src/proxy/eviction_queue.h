/// @file
/// The order in which client connections are closed when room is needed. No I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace indigorill {

/// Classes of client connections, in the order in which they are closed.
enum class EvictionClass {
  lingering,        ///< its last response is written; only the client's close is awaited
  silent,           ///< its client has sent nothing yet
  partial_request,  ///< a part of a request was received
  idle,             ///< it has carried requests and waits for the next one
  not_evictable,    ///< a request of it is being handled; never in the queue
};

/// Connections that may be closed, ordered by class and by their time in it.
class EvictionQueue {
 public:
  struct Entry {
    EvictionClass eviction_class;
    double since_ms;  ///< entry into this class, or last progress of a partial request
    std::uint64_t connection_id;
    /// By class, then by age, the oldest first.
    bool operator<(const Entry& other) const;
  };

  /// Entries of the class `not_evictable` are ignored, here and by erase().
  void insert(const Entry& entry);
  void erase(const Entry& entry);
  std::size_t size() const { return entries_.size(); }

  /// The id of the connection that has been in this class for longest, and for at least `min_age_ms`, among
  /// those that `may_close` allows; empty if there is none.
  std::optional<std::uint64_t> find_oldest(EvictionClass eviction_class, double now_ms, double min_age_ms,
                                           const std::function<bool(std::uint64_t id)>& may_close) const;

 private:
  std::set<Entry> entries_;
};

}  // namespace indigorill
