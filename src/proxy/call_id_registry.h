/// @file
/// The ids of the RPCs in flight, as assigned by the clients: an id that is open must not be accepted again.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "hot_restart/call_id_locks.h"

namespace indigorill {

class CallIdRegistry {
 public:
  /// From now on, ids that are open in another process of this sidecar count as open too.
  void share(CallIdLocks locks) { locks_ = std::move(locks); }

  /// Returns false if the id is open here or in another process of this sidecar.
  bool try_open(std::string_view call_id, double now_ms);
  void close(std::string_view call_id);
  /// Leaves the id open until then. Beyond a limit on their number, the one that would be closed next is
  /// closed at once.
  void close_at(std::string_view call_id, double close_at_ms);

 private:
  void close_due(double now_ms);

  std::set<std::string, std::less<>> open_;
  std::set<std::pair<double, std::string>> closing_;  // by the time of the close
  std::optional<CallIdLocks> locks_;
};

}  // namespace indigorill
