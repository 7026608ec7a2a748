#include "proxy/call_id_registry.h"

namespace indigorill {

bool CallIdRegistry::try_open(std::string_view call_id, double now_ms) {
  close_due(now_ms);
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

void CallIdRegistry::close_at(std::string_view call_id, double close_at_ms) {
  constexpr std::size_t max_closing = 1000;
  closing_.emplace(close_at_ms, call_id);
  if (closing_.size() > max_closing) close_due(closing_.begin()->first);
}

void CallIdRegistry::close_due(double now_ms) {
  while (!closing_.empty() && closing_.begin()->first <= now_ms) {
    close(closing_.begin()->second);
    closing_.erase(closing_.begin());
  }
}

}  // namespace indigorill
