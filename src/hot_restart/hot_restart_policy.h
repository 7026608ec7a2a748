/// What each of the two processes of a sidecar may do during a hot restart: which one accepts connections,
/// when the parent closes its own, and which part of the limits each may use. No I/O: the caller says what
/// the other process's record holds and whether that process lives.
#pragma once

#include <cstdint>
#include <optional>

#include "hot_restart/hot_restart_record.h"

namespace indigorill {

/// One process's side of a hot restart. The older process is the parent, the newer one the child; a process
/// that is alone is neither.
class HotRestartPolicy {
 public:
  /// `started_at_ms`: Unix time at which this process started.
  explicit HotRestartPolicy(double started_at_ms) { own_record_.started_at_ms = started_at_ms; }

  /// What the other process has to know of this one.
  const ProcessRecord& own_record() const { return own_record_; }

  /// `record`: empty if it can't be read; ignored if the other process is dead.
  void update_other_process(const std::optional<ProcessRecord>& record, bool is_alive);

  void start_serving() { own_record_.state = ProcessRecord::ProcessState::serving; }
  void start_draining() { own_record_.state = ProcessRecord::ProcessState::draining; }
  void set_ejection_revision(std::uint64_t revision) { own_record_.ejection_revision = revision; }
  void set_limits_reduced(bool are_reduced) { own_record_.limits_reduced = are_reduced; }

  /// There is another live process of this sidecar.
  bool is_paired() const { return other_is_alive_; }
  /// Where the other process's record can't be read, a process that is still starting is the child.
  bool is_child() const;
  bool is_parent() const { return other_is_alive_ && !is_child(); }

  /// This process accepts new connections. A parent stops when its child serves, a child starts when it is
  /// told to serve; a process that is alone accepts all.
  bool is_accepting() const;
  /// Each response ends its connection, so that clients connect to the child before the parent has to stop.
  bool is_force_closing() const;
  /// The part of the sidecar's limits that this process may use, above 0 and at most 1.
  double limit_fraction() const;
  /// The parent, if there is one, keeps to its part of the limits, so that this process may serve.
  bool can_start_serving() const;
  /// The EjectionRecord of this revision, or a later one, is in force in the other process too.
  bool is_revision_in_force(std::uint64_t revision) const;

 private:
  ProcessRecord own_record_;
  std::optional<ProcessRecord> other_record_;
  bool other_is_alive_ = false;
};

}  // namespace indigorill
