/// Water filling: distributes RPCs over queues of different length and speed up to one common wait.
#pragma once

#include <algorithm>
#include <tuple>
#include <vector>

namespace indigorill {

/// One queue: its wait now, and the time that each further RPC adds to it.
struct QueueLevel {
  double wait_ms;
  double service_time_ms;
};

/// The common wait to which `rpc_count` RPCs fill the queues if each is sent to the queue with the shortest
/// wait; 0 if there is no queue.
inline double fill_level_ms(std::vector<QueueLevel> queues, double rpc_count) {
  std::sort(queues.begin(), queues.end(), [](const QueueLevel& a, const QueueLevel& b) {
    return std::tie(a.wait_ms, a.service_time_ms) < std::tie(b.wait_ms, b.service_time_ms);
  });
  constexpr double no_next_queue_ms = 1e18;
  double rpcs_per_ms = 0;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    const double wait_ms = queues[i].wait_ms;
    const double next_wait_ms = i + 1 < queues.size() ? queues[i + 1].wait_ms : no_next_queue_ms;
    rpcs_per_ms += 1 / queues[i].service_time_ms;
    if (rpc_count <= rpcs_per_ms * (next_wait_ms - wait_ms)) return wait_ms + rpc_count / rpcs_per_ms;
    rpc_count -= rpcs_per_ms * (next_wait_ms - wait_ms);
  }
  return 0;
}

}  // namespace indigorill
