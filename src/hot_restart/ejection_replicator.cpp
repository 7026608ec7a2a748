#include "hot_restart/ejection_replicator.h"

#include <utility>

namespace indigorill {
namespace {

constexpr const char* ejection_file_name = "bans.json";
constexpr const char* ejection_lock_name = "bans.lock";

// An operator's request is answered within a second, so a change that takes longer than this is rolled back
// and reported as failed.
constexpr double change_timeout_ms = 700;
// Interval between attempts to complete a change that waits for the other process.
constexpr double change_retry_interval_ms = 5;

}  // namespace

EjectionReplicator::EjectionReplicator(EventLoop& event_loop, Logger& logger, HotRestartPolicy& policy,
                                       EventLoop::Callback publish_record)
    : event_loop_(event_loop), logger_(logger), policy_(policy), publish_record_(std::move(publish_record)) {}

void EjectionReplicator::use_directory(const SharedDirectory& directory) {
  directory_ = &directory;
  if (const auto stored = read_stored_record()) ejections_ = *stored;
  policy_.set_ejection_revision(ejections_.revision);
}

std::optional<EjectionRecord> EjectionReplicator::read_stored_record() const {
  const auto text = directory_->read_file(ejection_file_name);
  if (!text) return {};
  auto record = decode_ejection_record(*text);
  if (!record)
    logger_.warning() << "manual ejections in " << directory_->path()
                      << " can't be read, starting without any";
  return record;
}

void EjectionReplicator::refresh() {
  const auto text = directory_->read_file(ejection_file_name);
  const auto record = text ? decode_ejection_record(*text) : std::nullopt;
  if (record && *record != ejections_) put_in_force(*record);
}

void EjectionReplicator::change(Change apply, ChangeCallback on_done) {
  changes_.push_back({.apply = std::move(apply), .on_done = std::move(on_done)});
  if (changes_.size() > 1) return;
  first_change_started_at_ms_ = event_loop_.now();
  advance();
}

void EjectionReplicator::advance() {
  while (!changes_.empty()) {
    const ChangeStatus status = advance_first_change();
    if (status == ChangeStatus::pending) {
      retry_timer_ =
          event_loop_.schedule_at(event_loop_.now() + change_retry_interval_ms, [this] { advance(); });
      return;
    }
    finish_first_change(status == ChangeStatus::in_force);
  }
  retry_timer_.cancel();
}

EjectionReplicator::ChangeStatus EjectionReplicator::advance_first_change() {
  const bool is_late = event_loop_.now() > first_change_started_at_ms_ + change_timeout_ms;
  if (!previous_ejections_ && !apply_first_change()) return ChangeStatus::failed;
  const bool is_applied = previous_ejections_.has_value();
  if (is_applied && policy_.is_revision_in_force(ejections_.revision)) return ChangeStatus::in_force;
  if (!is_late) return ChangeStatus::pending;
  if (is_applied) roll_back_first_change();
  return ChangeStatus::failed;
}

// False if the change can't be written. True without applying it if the lock can't be taken now; the call is
// then repeated.
bool EjectionReplicator::apply_first_change() {
  // Both processes may change ejections at the same time, so the file is changed under a lock, which is held
  // for a single read and write only.
  FileDescriptor lock;
  if (directory_) {
    lock = directory_->try_lock(ejection_lock_name);
    if (!lock) return true;
    refresh();
  }
  previous_ejections_ = ejections_;
  EjectionRecord changed = ejections_;
  changes_.front().apply(changed);
  if (changed.ejected == ejections_.ejected) return true;
  ++changed.revision;
  return commit(changed);
}

void EjectionReplicator::roll_back_first_change() {
  EjectionRecord restored = *previous_ejections_;
  restored.revision = ejections_.revision + 1;
  commit(restored);
}

void EjectionReplicator::finish_first_change(bool is_in_force) {
  const ChangeCallback on_done = std::move(changes_.front().on_done);
  changes_.pop_front();
  previous_ejections_.reset();
  first_change_started_at_ms_ = event_loop_.now();
  on_done(is_in_force);
}

// False if the record can't be written, in which case it does not come into force in this process.
bool EjectionReplicator::commit(const EjectionRecord& record) {
  if (directory_ && !directory_->write_file(ejection_file_name, encode(record))) return false;
  put_in_force(record);
  publish_record_();
  return true;
}

void EjectionReplicator::put_in_force(const EjectionRecord& record) {
  ejections_ = record;
  on_changed_(ejections_);
  policy_.set_ejection_revision(ejections_.revision);
}

}  // namespace indigorill
