#include "hot_restart/hot_restart.h"

#include <stdexcept>
#include <utility>

namespace indigorill {
namespace {

constexpr const char* endpoint_list_file_name = "list.json";
constexpr const char* call_id_lock_file_name = "call-ids.lock";

// A change of ejections has to be in force in both processes, and its request answered, within a second, so
// paired processes poll often. A process that runs alone only checks for a child process, which takes one or
// two system calls per poll.
constexpr double standalone_poll_interval_ms = 20;
constexpr double paired_poll_interval_ms = 5;

}  // namespace

HotRestart::HotRestart(EventLoop& event_loop, Logger& logger, const std::string& parent_directory,
                       const std::string& sidecar_name)
    : event_loop_(event_loop),
      logger_(logger),
      policy_(event_loop.now()),
      ejection_replicator_(event_loop, logger, policy_, [this] { publish_record(); }) {
  claim_slot(parent_directory, sidecar_name);
  if (!directory_) return;
  publish_record();
  ejection_replicator_.use_directory(*directory_);
  policy_.update_other_process({}, is_other_process_alive());
}

void HotRestart::claim_slot(const std::string& parent_directory, const std::string& sidecar_name) {
  try {
    directory_.emplace(parent_directory, sidecar_name);
  } catch (const std::runtime_error& error) {
    logger_.warning()
        << "hot restart unavailable, running standalone, manual ejections end with this process: "
        << error.what();
  }
}

void HotRestart::publish_record() {
  if (!directory_ || published_record_ == policy_.own_record()) return;
  published_record_ = policy_.own_record();
  if (directory_->write_own_record(*published_record_)) return;
  if (!std::exchange(write_failure_logged_, true))
    logger_.warning() << "can't write to " << directory_->path()
                      << ": the other process of this sidecar doesn't learn of this one's state";
}

void HotRestart::start(EventLoop::Callback on_change,
                       EjectionReplicator::RecordCallback on_ejections_changed) {
  on_change_ = std::move(on_change);
  ejection_replicator_.start(std::move(on_ejections_changed));
  poll_other_process();
}

void HotRestart::poll_other_process() {
  const bool is_alive = is_other_process_alive();
  const bool has_come_or_gone = is_alive != policy_.is_paired();
  policy_.update_other_process(is_alive ? directory_->read_other_record() : std::nullopt, is_alive);
  if (is_alive) ejection_replicator_.refresh();
  publish_record();
  if (has_come_or_gone || is_alive || std::exchange(is_first_poll_, false)) on_change_();
  publish_record();
  ejection_replicator_.advance();
  if (!directory_) return;
  const double interval_ms = is_alive ? paired_poll_interval_ms : standalone_poll_interval_ms;
  poll_timer_ = event_loop_.schedule_at(event_loop_.now() + interval_ms, [this] { poll_other_process(); });
}

void HotRestart::start_serving() {
  policy_.start_serving();
  publish_record();
}

void HotRestart::start_draining() {
  policy_.start_draining();
  publish_record();
}

void HotRestart::set_limits_reduced(bool are_reduced) {
  policy_.set_limits_reduced(are_reduced);
  publish_record();
}

void HotRestart::change_ejections(EjectionReplicator::Change apply,
                                  EjectionReplicator::ChangeCallback on_done) {
  ejection_replicator_.change(std::move(apply), std::move(on_done));
}

std::optional<CallIdLocks> HotRestart::open_call_id_locks() const {
  if (!directory_) return std::nullopt;
  FileDescriptor file = directory_->open_lock_file(call_id_lock_file_name);
  if (file) return CallIdLocks(std::move(file));
  logger_.warning() << "can't open " << directory_->path() << "/" << call_id_lock_file_name
                    << ": call ids that are open in the other process of this sidecar are accepted";
  return std::nullopt;
}

void HotRestart::write_endpoint_list(const std::string& text) {
  if (directory_ && !directory_->write_file(endpoint_list_file_name, text))
    logger_.warning() << "can't write the endpoint list to " << directory_->path()
                      << ": the child process starts with that of its config";
}

std::optional<std::string> HotRestart::read_endpoint_list() const {
  return directory_ ? directory_->read_file(endpoint_list_file_name) : std::nullopt;
}

}  // namespace indigorill
