#include "proxy/call_id_registry.h"

namespace indigorill {

bool CallIdRegistry::try_open(std::string_view call_id) {
  if (open_.contains(call_id)) return false;
  if (locks_ && !locks_->try_lock(call_id)) return false;
  open_.emplace(call_id);
  return true;
}

void CallIdRegistry::close(std::string_view call_id) {
  const auto it = open_.find(call_id);
  if (it == open_.end()) return;
  open_.erase(it);
  if (locks_) locks_->unlock(call_id);
}

}  // namespace indigorill
