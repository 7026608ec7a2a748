// What two processes of one sidecar make of each other while the newer takes over from the older: who takes
// new connections, who hurries its clients along, and how much of the limits each may use. No I/O: told what
// the other one's record says and whether it lives.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace indigorill {

// What a process says of itself to the other.
struct ProcessRecord {
  enum class ProcessState { starting, serving, draining } state = ProcessState::starting;
  double started_at_ms = 0;             // Unix ms; the older process is the elder
  std::uint64_t ejection_revision = 0;  // the revision of the bans that is in force here
  bool limits_reduced = false;          // it keeps to its part of the limits
  bool operator==(const ProcessRecord&) const = default;
};

// The endpoints out by hand, as all processes of a sidecar have agreed.
struct EjectionRecord {
  std::uint64_t revision = 0;
  std::set<std::string, std::less<>> ejected;
  // When the others were put back, Unix ms: a newcomer must take them for as cold as the elder does.
  std::map<std::string, double, std::less<>> restored_at_ms;
  bool operator==(const EjectionRecord&) const = default;
};

void eject_endpoint(EjectionRecord& b, const std::string& id);
void restore_endpoint(EjectionRecord& b, const std::string& id, double now);

std::string encode(const ProcessRecord& r);
std::string encode(const EjectionRecord& b);
// None for what is torn, foreign or of another format: it is taken for nothing.
std::optional<ProcessRecord> decode_process_record(const std::string& text);
std::optional<EjectionRecord> decode_ejection_record(const std::string& text);

class HotRestartPolicy {
 public:
  explicit HotRestartPolicy(double born) { own_record_.started_at_ms = born; }

  const ProcessRecord& own_record() const { return own_record_; }

  void update_other_process(std::optional<ProcessRecord> of_other, bool other_lives);
  void start_serving() { own_record_.state = ProcessRecord::ProcessState::serving; }
  void start_draining() { own_record_.state = ProcessRecord::ProcessState::draining; }
  void set_ejection_revision(std::uint64_t revision) { own_record_.ejection_revision = revision; }
  void set_limits_reduced(bool has) { own_record_.limits_reduced = has; }

  bool is_paired() const { return other_is_alive_; }
  // Where the other one's record can't be read, who still starts takes itself for the newcomer.
  bool is_child() const {
    return other_is_alive_ && (other_record_ ? other_record_->started_at_ms < own_record_.started_at_ms
                                             : own_record_.state == ProcessRecord::ProcessState::starting);
  }
  bool is_parent() const { return other_is_alive_ && !is_child(); }

  // Takes new connections. An elder leaves them to a newcomer that serves, a newcomer begins when it is told
  // to serve; whoever is left alone takes all.
  bool is_accepting() const;
  // Each answer ends its connection, so that clients move over before the elder is told to stop.
  bool is_force_closing() const {
    return is_parent() && other_record_ && other_record_->state == ProcessRecord::ProcessState::serving;
  }
  // The part of the limits that is its own. A newcomer has less than half until the elder has made room.
  double limit_fraction() const;
  // The elder keeps to its part, so that a newcomer may take connections.
  bool can_start_serving() const { return !is_child() || (other_record_ && other_record_->limits_reduced); }
  // What was asked of one is in force in both.
  bool is_revision_in_force(std::uint64_t revision) const {
    return !other_is_alive_ || (other_record_ && other_record_->ejection_revision >= revision);
  }

 private:
  ProcessRecord own_record_;
  std::optional<ProcessRecord> other_record_;
  bool other_is_alive_ = false;
};

}  // namespace indigorill
