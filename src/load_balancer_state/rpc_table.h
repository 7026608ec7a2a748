/// The RPCs in progress: by id, in the queue of those that need a decision, and by due time.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "load_balancer_state/tracked_rpc.h"

namespace indigorill {

/// Owns all tracked RPCs; references stay valid until erase_if_finished() erases the RPC.
class RpcTable {
 public:
  /// Null if no RPC has this id.
  TrackedRpc* find(std::string_view id) const;
  /// Null if the attempt does not exist or has ended.
  Attempt* find_outstanding_attempt(std::string_view rpc_id, int attempt_index) const;
  TrackedRpc& add(std::unique_ptr<TrackedRpc> rpc);
  /// Erases the RPC if it is concluded and has no attempt outstanding.
  void erase_if_finished(std::string_view id);

  /// Queues an RPC for a decision, unless it is queued already or concluded.
  void enqueue(TrackedRpc& rpc);
  bool has_queued() const { return !queue_.empty(); }
  TrackedRpc& pop_queued();

  /// Sets the time at which the RPC needs its next decision; `never` for none.
  void set_due_time(TrackedRpc& rpc, double at_ms);
  /// Queues all RPCs that are due, in order of due time, then of arrival.
  void enqueue_due(double now_ms);
  /// Earliest due time of all RPCs, far_future if none has one.
  double next_due_ms() const;

  void await_probes(TrackedRpc& rpc) { awaiting_probes_.push_back(&rpc); }
  void stop_awaiting_probes(TrackedRpc& rpc) { std::erase(awaiting_probes_, &rpc); }
  void enqueue_awaiting_probes();

  void cancel_outstanding_attempts(TrackedRpc& rpc);
  /// Removes and returns the next attempt to be cancelled that is still outstanding; null if there is none.
  const Attempt* pop_cancellation();

  /// All endpoints to which an attempt or a probe target of an RPC in progress refers.
  std::set<const TrackedEndpoint*> referenced_endpoints() const;

 private:
  using DueKey = std::pair<double, std::size_t>;  // due time, order of arrival

  std::unordered_map<std::string, std::unique_ptr<TrackedRpc>> rpcs_by_id_;
  std::deque<TrackedRpc*> queue_;
  std::set<std::pair<DueKey, TrackedRpc*>> due_;
  std::vector<TrackedRpc*> awaiting_probes_;
  std::deque<Attempt*> cancellations_;
};

}  // namespace indigorill
