/// \file
/// Hot restart: a child process takes over from its parent, and both serve one sidecar's clients for a while.
/// HotRestart polls and publishes records in the directory that both processes share; HotRestartPolicy
/// decides what follows from them.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "event/event_loop.h"
#include "hot_restart/call_id_locks.h"
#include "hot_restart/ejection_replicator.h"
#include "hot_restart/hot_restart_policy.h"
#include "hot_restart/shared_directory.h"
#include "logging/logger.h"

namespace indigorill {

/// This process's side of a hot restart. The event loop and the logger must outlive it.
class HotRestart {
 public:
  /// `parent_directory`: directory that holds the shared directory, which is named after the sidecar. If the
  /// shared directory can't be used, a warning is logged and this process runs standalone.
  HotRestart(EventLoop& event_loop, Logger& logger, const std::string& parent_directory,
             const std::string& sidecar_name);
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  /// Starts polling. `on_change` is called once by `start()` itself, at each poll while there are two
  /// processes, and when the other process has ended; `on_ejections_changed` is called when manual ejections
  /// change. Both are called from the event loop or from within a call of a member function.
  void start(EventLoop::Callback on_change, EjectionReplicator::RecordCallback on_ejections_changed);

  const HotRestartPolicy& policy() const { return policy_; }
  /// The manual ejections that are in force in this process.
  const EjectionRecord& ejections() const { return ejection_replicator_.ejections(); }

  /// The next three functions publish the new state to the other process at once.
  void start_serving();
  void start_draining();
  void set_limits_reduced(bool are_reduced);

  /// Changes the manual ejections in all processes of this sidecar, then calls `on_done`. A change that fails
  /// is rolled back.
  void change_ejections(EjectionReplicator::Change apply, EjectionReplicator::ChangeCallback on_done);

  /// Locks that the processes of this sidecar share; empty if this process runs standalone.
  std::optional<CallIdLocks> open_call_id_locks() const;

  /// Writes the endpoint list, encoded by encode_endpoint_list(), for the child process, whose own list may
  /// be as old as its config file.
  void write_endpoint_list(const std::string& text);
  /// The endpoint list that the parent process wrote; empty if there is none.
  std::optional<std::string> read_endpoint_list() const;

 private:
  void claim_slot(const std::string& parent_directory, const std::string& sidecar_name);
  bool is_other_process_alive() const { return directory_ && directory_->is_other_process_alive(); }
  void publish_record();
  void poll_other_process();

  EventLoop& event_loop_;
  Logger& logger_;
  /// Empty if this process runs standalone.
  std::optional<SharedDirectory> directory_;
  HotRestartPolicy policy_;
  EjectionReplicator ejection_replicator_;
  std::optional<ProcessRecord> published_record_;
  bool write_failure_logged_ = false;
  bool is_first_poll_ = true;
  EventLoop::Callback on_change_ = [] {};
  EventLoop::Timer poll_timer_;
};

}  // namespace indigorill
