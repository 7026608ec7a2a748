// The other process of this sidecar, by files and locks in a folder that both see: while one takes over from
// the other, each says how it is and keeps to its part. src/handover/ decides, this reads and writes.
//
// A process lives as long as the kernel holds its lock on one of two slots, however it ends. Files are
// written aside and renamed, so that nobody reads half of one.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event/event_loop.h"
#include "hot_restart/hot_restart_policy.h"
#include "logging/logger.h"

namespace indigorill {

class HotRestart {
 public:
  // folder: empty, or one that can't be written to, and the process works alone.
  HotRestart(EventLoop& in, Logger& log_to, const std::string& folder, const std::string& sidecar);
  ~HotRestart();

  // `changed`: at first, while there are two, and when the other one has gone. `out`: the endpoints out by
  // hand, when another process changed them; both are called from the loop.
  void start(EventLoop::Callback changed, std::function<void(const EjectionRecord&)> out);

  const HotRestartPolicy& policy() const { return policy_; }
  const EjectionRecord& ejections() const { return ejections_; }

  void start_serving();
  void start_draining();
  void set_limits_reduced(bool has);

  // Changes the set of what is out, in all processes of this sidecar before `then` says so; a no leaves it as
  // it was.
  void change_ejections(std::function<void(EjectionRecord&)> how, std::function<void(bool done)> then);

  // The list as the elder last had it, in discovery's form: a newcomer's own may be as old as its config.
  void write_endpoint_list(const std::string& text);
  std::optional<std::string> read_endpoint_list() const;

 private:
  struct PendingChanges;

  std::string claim_slot(const std::string& under, const std::string& sidecar);
  bool is_enabled() const { return static_cast<bool>(own_lock_); }
  std::string file_path(const std::string& file) const { return directory_ + "/" + file; }
  bool write_atomically(const std::string& file, const std::string& text) const;
  void publish_record();
  void poll_other_process();
  bool is_other_process_alive() const;
  void refresh_ejections();
  void advance_changes();
  std::optional<EjectionRecord> read_stored_ejections() const;

  EventLoop& event_loop_;
  Logger& logger_;
  std::string directory_;
  HotRestartPolicy policy_;
  EjectionRecord ejections_;
  int slot_ = 0;
  FileDescriptor own_lock_, other_lock_;
  std::optional<ProcessRecord> published_record_;
  bool write_failure_logged_ = false, is_first_poll_ = true;
  EventLoop::Callback on_change_ = [] {};
  std::function<void(const EjectionRecord&)> on_ejections_changed_ = [](const EjectionRecord&) {};
  EventLoop::Timer poll_timer_;
  std::unique_ptr<PendingChanges> pending_changes_;
};

}  // namespace indigorill
