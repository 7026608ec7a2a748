/// @file
/// The ids of the RPCs in flight, as assigned by the clients: an id that is open must not be accepted again.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "hot_restart/call_id_locks.h"

namespace indigorill {

class CallIdRegistry {
 public:
  /// From now on, ids that are open in another process of this sidecar count as open too.
  void share(CallIdLocks locks) { locks_ = std::move(locks); }

  /// Returns false if the id is open here or in another process of this sidecar.
  bool try_open(std::string_view call_id);
  void close(std::string_view call_id);

 private:
  std::set<std::string, std::less<>> open_;
  std::optional<CallIdLocks> locks_;
};

}  // namespace indigorill
