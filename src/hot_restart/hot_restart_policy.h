/// \file
/// Rules for the two processes of a sidecar during a hot restart: which process accepts connections, when the
/// parent closes its connections, and which part of the limits each process may use. No I/O: the caller
/// passes the other process's record and whether that process is alive.
#pragma once

#include <cstdint>
#include <optional>

#include "hot_restart/hot_restart_record.h"

namespace indigorill {

/// The decisions of one process during a hot restart. The older process is the parent, the newer one the
/// child; a process that runs alone is neither.
class HotRestartPolicy {
 public:
  /// `started_at_ms`: Unix time at which this process started.
  explicit HotRestartPolicy(double started_at_ms) { own_record_.started_at_ms = started_at_ms; }

  /// The record that this process publishes to the other one.
  const ProcessRecord& own_record() const { return own_record_; }

  /// `record`: empty if it can't be read; ignored if the other process is dead.
  void update_other_process(const std::optional<ProcessRecord>& record, bool is_alive);

  void start_serving() { own_record_.state = ProcessRecord::ProcessState::serving; }
  void start_draining() { own_record_.state = ProcessRecord::ProcessState::draining; }
  void set_ejection_revision(std::uint64_t revision) { own_record_.ejection_revision = revision; }
  void set_limits_reduced(bool are_reduced) { own_record_.limits_reduced = are_reduced; }

  /// True if another process of this sidecar is alive.
  bool is_paired() const { return other_is_alive_; }
  /// If the other process's record can't be read, a process that is still starting is the child.
  bool is_child() const;
  bool is_parent() const { return other_is_alive_ && !is_child(); }

  /// True if this process accepts new connections: a starting process does not yet, and a parent no longer
  /// does once its child serves.
  bool is_accepting() const;
  /// True if each connection is closed after its response, so that clients connect to the child before the
  /// parent has to stop.
  bool is_force_closing() const;
  /// Fraction of the sidecar's limits that this process may use, above 0 and at most 1.
  double limit_fraction() const;
  /// True if this process has no parent, or if the parent has reduced its use to its part of the limits.
  bool can_start_serving() const;
  /// True if the EjectionRecord of this revision or a later one is in force in the other process, or if no
  /// other process is alive.
  bool is_revision_in_force(std::uint64_t revision) const;

 private:
  ProcessRecord own_record_;
  std::optional<ProcessRecord> other_record_;
  bool other_is_alive_ = false;
};

}  // namespace indigorill
