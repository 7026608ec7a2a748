#include "hot_restart/hot_restart_policy.h"

namespace indigorill {

using ProcessState = ProcessRecord::ProcessState;

void HotRestartPolicy::update_other_process(const std::optional<ProcessRecord>& record, bool is_alive) {
  other_is_alive_ = is_alive;
  other_record_ = is_alive ? record : std::nullopt;
}

bool HotRestartPolicy::is_child() const {
  if (!other_is_alive_) return false;
  if (!other_record_) return own_record_.state == ProcessState::starting;
  return other_record_->started_at_ms < own_record_.started_at_ms;
}

bool HotRestartPolicy::is_accepting() const {
  return own_record_.state != ProcessState::starting && !is_force_closing();
}

bool HotRestartPolicy::is_force_closing() const {
  return is_parent() && other_record_ && other_record_->state == ProcessState::serving;
}

double HotRestartPolicy::limit_fraction() const {
  // From the start of the child process on, both processes together may use no more than one process alone.
  // The parent's part becomes a half at once. The child starts with a tenth of the limits and gets its half
  // once the parent has reduced its own use to its half.
  constexpr double full_fraction = 1;
  constexpr double paired_fraction = 0.5;
  constexpr double initial_child_fraction = 0.1;
  if (!other_is_alive_) return full_fraction;
  if (is_parent()) return paired_fraction;
  return other_record_ && other_record_->limits_reduced ? paired_fraction : initial_child_fraction;
}

bool HotRestartPolicy::can_start_serving() const {
  return !is_child() || (other_record_ && other_record_->limits_reduced);
}

bool HotRestartPolicy::is_revision_in_force(std::uint64_t revision) const {
  return !other_is_alive_ || (other_record_ && other_record_->ejection_revision >= revision);
}

}  // namespace indigorill
