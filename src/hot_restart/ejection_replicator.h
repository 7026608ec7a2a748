/// Agreement of the processes of one sidecar on the endpoints that operators ejected. The agreed record lies
/// in the shared directory and outlives the processes.
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

/// Makes one change after the other: writes it to the shared directory, waits until it is in force in the
/// other process as well, and rolls it back if that takes too long. All callbacks run in the event loop.
class EjectionReplicator {
 public:
  using Change = std::function<void(EjectionRecord&)>;
  using ChangeCallback = std::function<void(bool is_in_force)>;
  using RecordCallback = std::function<void(const EjectionRecord&)>;

  /// `policy` gets each revision that comes into force here, and says what is in force in the other process.
  /// `publish_record` tells the other process what the policy holds. All of them must outlive the replicator.
  EjectionReplicator(EventLoop& event_loop, Logger& logger, HotRestartPolicy& policy,
                     EventLoop::Callback publish_record);

  /// Reads what a process before this one left there. Without a call of it changes stay in this process.
  void use_directory(const SharedDirectory& directory);

  /// `on_changed` is called with each record that comes into force from then on.
  void start(RecordCallback on_changed) { on_changed_ = std::move(on_changed); }

  /// The record that is in force in this process.
  const EjectionRecord& ejections() const { return ejections_; }

  /// Takes over what the other process has written meanwhile.
  void refresh();

  /// Queues a change. `on_done` says whether it is in force in all processes of this sidecar; if not, it was
  /// undone.
  void change(Change apply, ChangeCallback on_done);

  /// Goes on with the queued changes as far as possible now, and by itself soon after while some are left.
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
  /// What was in force before the first change; empty until that change is applied here.
  std::optional<EjectionRecord> previous_ejections_;
  EventLoop::Timer retry_timer_;
};

}  // namespace indigorill
