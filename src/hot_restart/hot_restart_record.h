/// \file
/// The records that the two processes of one sidecar exchange during a hot restart, and their JSON form. No
/// I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace indigorill {

/// State that one process publishes to the other.
struct ProcessRecord {
  enum class ProcessState { starting, serving, draining };

  ProcessState state = ProcessState::starting;
  /// Unix time of the start in ms; the process that started first is the parent.
  double started_at_ms = 0;
  /// The revision of the EjectionRecord that is in force in this process.
  std::uint64_t ejection_revision = 0;
  /// True if the process uses no more than its part of the sidecar's limits.
  bool limits_reduced = false;

  bool operator==(const ProcessRecord&) const = default;
};

/// The manual ejections on which all processes of a sidecar have agreed.
struct EjectionRecord {
  /// Grows by at least one with each change.
  std::uint64_t revision = 0;
  /// Ids of the endpoints that are ejected now.
  std::set<std::string, std::less<>> ejected;
  /// Unix time in ms at which other endpoints were restored: a child process must give them the same slow
  /// start as its parent.
  std::map<std::string, double, std::less<>> restored_at_ms;

  bool operator==(const EjectionRecord&) const = default;
};

/// Marks the endpoint as ejected. Neither this function nor restore_endpoint() changes the revision.
void eject_endpoint(EjectionRecord& record, const std::string& endpoint_id);

/// Ends the endpoint's ejection, if there is one, and drops restorations that are more than a day old.
void restore_endpoint(EjectionRecord& record, const std::string& endpoint_id, double now_ms);

std::string encode(const ProcessRecord& record);
std::string encode(const EjectionRecord& record);

/// Empty if the text is truncated, not such a record, or of another format version; callers treat all three
/// alike.
std::optional<ProcessRecord> decode_process_record(const std::string& text);
std::optional<EjectionRecord> decode_ejection_record(const std::string& text);

}  // namespace indigorill
