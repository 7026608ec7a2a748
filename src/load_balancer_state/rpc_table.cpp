#include "load_balancer_state/rpc_table.h"

namespace indigorill {

TrackedRpc* RpcTable::find(std::string_view id) const {
  const auto it = rpcs_by_id_.find(std::string(id));
  return it == rpcs_by_id_.end() ? nullptr : it->second.get();
}

Attempt* RpcTable::find_outstanding_attempt(std::string_view rpc_id, int attempt_index) const {
  TrackedRpc* rpc = find(rpc_id);
  if (!rpc || attempt_index < 0 || attempt_index >= static_cast<int>(rpc->attempts.size())) return nullptr;
  Attempt& attempt = rpc->attempts[static_cast<std::size_t>(attempt_index)];
  return attempt.is_outstanding ? &attempt : nullptr;
}

TrackedRpc& RpcTable::add(std::unique_ptr<TrackedRpc> rpc) {
  std::unique_ptr<TrackedRpc>& slot = rpcs_by_id_[rpc->id];
  slot = std::move(rpc);
  return *slot;
}

void RpcTable::erase_if_finished(std::string_view id) {
  const auto it = rpcs_by_id_.find(std::string(id));
  TrackedRpc& rpc = *it->second;
  if (!rpc.is_concluded || rpc.outstanding_count() > 0) return;
  std::erase(queue_, &rpc);
  std::erase_if(cancellations_, [&](const Attempt* attempt) { return attempt->rpc == &rpc; });
  rpcs_by_id_.erase(it);
}

void RpcTable::enqueue(TrackedRpc& rpc) {
  if (rpc.is_queued || rpc.is_concluded) return;
  rpc.is_queued = true;
  queue_.push_back(&rpc);
}

TrackedRpc& RpcTable::pop_queued() {
  TrackedRpc& rpc = *queue_.front();
  queue_.pop_front();
  rpc.is_queued = false;
  return rpc;
}

void RpcTable::set_due_time(TrackedRpc& rpc, double at_ms) {
  if (rpc.due_at_ms != never) due_.erase({{rpc.due_at_ms, rpc.arrival_index}, &rpc});
  rpc.due_at_ms = at_ms;
  if (at_ms != never) due_.insert({{at_ms, rpc.arrival_index}, &rpc});
}

void RpcTable::enqueue_due(double now_ms) {
  while (next_due_ms() <= now_ms) {
    TrackedRpc& rpc = *due_.begin()->second;
    set_due_time(rpc, never);
    enqueue(rpc);
  }
}

double RpcTable::next_due_ms() const { return due_.empty() ? far_future : due_.begin()->first.first; }

void RpcTable::enqueue_awaiting_probes() {
  for (TrackedRpc* rpc : awaiting_probes_) enqueue(*rpc);
}

void RpcTable::cancel_outstanding_attempts(TrackedRpc& rpc) {
  for (Attempt& attempt : rpc.attempts)
    if (attempt.is_outstanding) cancellations_.push_back(&attempt);
}

const Attempt* RpcTable::pop_cancellation() {
  while (!cancellations_.empty()) {
    const Attempt* attempt = cancellations_.front();
    cancellations_.pop_front();
    if (attempt->is_outstanding) return attempt;
  }
  return nullptr;
}

std::set<const TrackedEndpoint*> RpcTable::referenced_endpoints() const {
  std::set<const TrackedEndpoint*> endpoints;
  for (const auto& [id, rpc] : rpcs_by_id_) {
    for (const Attempt& attempt : rpc->attempts) endpoints.insert(attempt.endpoint);
    endpoints.insert(rpc->probe_targets.begin(), rpc->probe_targets.end());
  }
  return endpoints;
}

}  // namespace indigorill
