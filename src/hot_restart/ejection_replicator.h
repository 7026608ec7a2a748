/// \file
/// Agreement between the processes of one sidecar on the endpoints that operators ejected. The agreed record
/// is stored in the shared directory and outlives the processes.
#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "event/event_loop.h"
#include "hot_restart/hot_restart_policy.h"
#include "hot_restart/hot_restart_record.h"
#include "hot_restart/shared_directory.h"
#include "logging/logger.h"

namespace indigorill {

/// Applies one change at a time: writes it to the shared directory, waits until it is in force in the other
/// process too, and rolls it back if that takes too long. Callbacks are called from the event loop or from
/// within a call of a member function.
class EjectionReplicator {
 public:
  using Change = std::function<void(EjectionRecord&)>;
  using ChangeCallback = std::function<void(bool is_in_force)>;
  using RecordCallback = std::function<void(const EjectionRecord&)>;

  /// `policy` receives each revision that comes into force in this process, and knows which one is in force
  /// in the other process. `publish_record` publishes the policy's own record to the other process. The
  /// references must outlive the replicator.
  EjectionReplicator(EventLoop& event_loop, Logger& logger, HotRestartPolicy& policy,
                     EventLoop::Callback publish_record);

  /// Loads the ejections that an earlier process stored in the directory, and stores changes there from then
  /// on. The directory must outlive the replicator. Without this call, changes stay in this process.
  void use_directory(const SharedDirectory& directory);

  /// `on_changed` is called with each record that comes into force from then on.
  void start(RecordCallback on_changed) { on_changed_ = std::move(on_changed); }

  /// The record that is in force in this process.
  const EjectionRecord& ejections() const { return ejections_; }

  /// Puts into force what the other process has written to the shared directory.
  void refresh();

  /// Queues a change. `on_done` is called with true once the change is in force in all processes of this
  /// sidecar, and with false if it failed and was rolled back.
  void change(Change apply, ChangeCallback on_done);

  /// Processes the queued changes as far as possible; while some are left, a timer repeats the call.
  void advance();

 private:
  enum class ChangeStatus { pending, in_force, failed };
  struct PendingChange {
    Change apply;
    ChangeCallback on_done;
  };

  std::optional<EjectionRecord> read_stored_record() const;
  void put_in_force(const EjectionRecord& record);
  bool commit(const EjectionRecord& record);
  ChangeStatus advance_first_change();
  bool apply_first_change();
  void roll_back_first_change();
  void finish_first_change(bool is_in_force);

  EventLoop& event_loop_;
  Logger& logger_;
  HotRestartPolicy& policy_;
  EventLoop::Callback publish_record_;
  RecordCallback on_changed_ = [](const EjectionRecord&) {};
  const SharedDirectory* directory_ = nullptr;
  EjectionRecord ejections_;
  std::deque<PendingChange> changes_;
  double first_change_started_at_ms_ = 0;
  /// The record that was in force before the first queued change; empty until that change is applied in this
  /// process.
  std::optional<EjectionRecord> previous_ejections_;
  EventLoop::Timer retry_timer_;
};

}  // namespace indigorill
