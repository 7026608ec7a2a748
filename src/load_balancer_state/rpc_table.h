/// The RPCs in hand: by id, in the queue of those to be decided on, and by due time.
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
  /// Null if there is none of this id.
  TrackedRpc* find(std::string_view id) const;
  /// Null if there is none, or if it has ended.
  Attempt* find_outstanding_attempt(std::string_view rpc_id, int attempt_index) const;
  TrackedRpc& add(std::unique_ptr<TrackedRpc> rpc);
  /// Erases an RPC that is concluded and has no attempt outstanding.
  void erase_if_finished(std::string_view id);

  /// Queues an RPC to be decided on, unless it is queued already or concluded.
  void enqueue(TrackedRpc& rpc);
  bool has_queued() const { return !queue_.empty(); }
  TrackedRpc& pop_queued();

  /// When the RPC has to be decided on anew; `never` for no such time.
  void set_due_time(TrackedRpc& rpc, double at_ms);
  /// Queues all RPCs that are due, in order of due time, then of arrival.
  void enqueue_due(double now_ms);
  /// Due time of the next RPC, far_future if there is none.
  double next_due_ms() const;

  void await_probes(TrackedRpc& rpc) { awaiting_probes_.push_back(&rpc); }
  void stop_awaiting_probes(TrackedRpc& rpc) { std::erase(awaiting_probes_, &rpc); }
  void enqueue_awaiting_probes();

  void cancel_outstanding_attempts(TrackedRpc& rpc);
  /// Next attempt to be cancelled that is still outstanding, null if there is none.
  const Attempt* pop_cancellation();

  /// All endpoints that an attempt or a probe of an RPC in hand refers to.
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
