/// \file
/// The members of the fleet as seen by one sidecar: SWIM (Das, Gupta, Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with Lifeguard's
/// refinements (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
/// Detection", 2017).
///
/// No I/O: the caller provides the clock, the seed of the random draws and the received messages; it calls
/// on_timer and on_message, and sends the messages that next_message returns.
///
/// Safety: no invariant may depend on this view. It is a hint: it lags behind, can differ between members and
/// can report a live member as dead. Whatever needs agreement depends on the leader lease instead.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "membership/suspicion_table.h"
#include "membership/swim_message.h"
#include "membership/update_queue.h"

namespace indigorill {

/// The protocol as run by one member. All times are in ms of one clock, which should keep running while the
/// machine is suspended: a pause is detected by a timer that is called late.
class Membership {
 public:
  struct Config {
    std::string name;                         ///< Name of this member.
    std::string address;                      ///< Address of this member for the others, "address:port".
    std::vector<std::string> seed_addresses;  ///< Addresses of the members through which this one joins.
    double probe_interval_ms = 1000;          ///< Interval in which one member is probed, in ms.
    double probe_timeout_ms = 300;  ///< Wait for a direct answer before others are asked to ping, in ms.
  };

  struct OutgoingMessage {
    std::string recipient;  ///< Address of the recipient, "address:port".
    SwimMessage message;
  };

  struct Counters {
    std::uint64_t probes_sent = 0;
    std::uint64_t indirect_probes = 0;  ///< Probes without a direct answer in time.
    std::uint64_t failed_probes = 0;    ///< Probes without a direct or an indirect answer.
    std::uint64_t refutations = 0;      ///< Refutations of updates about this member.
    std::uint64_t pauses = 0;           ///< Pauses of this process that were detected.
    std::uint64_t displacements = 0;    ///< Times that another process took over this member's name.
  };

  /// \param incarnation the time of the start in ms, so that it is higher than that of the previous start. If
  /// others know a higher incarnation of this member, it is raised above theirs once they report it.
  Membership(Config config, std::uint64_t incarnation, std::uint64_t seed, double now);

  /// Processes a message from another member.
  /// \param reply_address the address that replies are sent to.
  void on_message(double now, const std::string& sender, const std::string& reply_address,
                  const SwimMessage& message);
  /// Must be called at next_timer_at(); an earlier call is harmless.
  void on_timer(double now);
  /// Infinite after leave().
  double next_timer_at() const;
  /// Announces to a few members that this one leaves. Messages that are received afterwards are ignored.
  void leave();
  /// Removes and returns the next message to send, if there is one.
  std::optional<OutgoingMessage> next_message();

  std::uint64_t incarnation() const { return self_.incarnation; }
  /// Whether another process with this member's name takes precedence over this one.
  bool is_displaced() const { return displaced_; }
  /// The other members by name.
  const MemberTable::Entries& view() const { return members_.entries(); }
  /// Number of other members in each state, in the order of Member::State.
  std::array<std::size_t, member_state_count> count_by_state() const { return members_.count_by_state(); }
  /// Empty if the name is unknown.
  std::string address_of(const std::string& name) const;
  /// Lifeguard's local health multiplier: 0 if replies arrive in time, up to 8 if this process is slow.
  int local_health() const { return local_health_; }
  const Counters& counters() const { return counters_; }

 private:
  // The probe of the current interval. The target is empty if there is none, as at first and after a pause.
  struct Probe {
    std::string target;
    std::uint64_t sequence_number = 0;
    double direct_deadline = 0;
    bool answered = true;
    bool indirect_started = false;
    std::size_t indirect_requests = 0;
    std::size_t nacks_received = 0;
  };
  // A ping that this member sends on behalf of another one.
  struct IndirectProbe {
    std::string requester_address;
    std::uint64_t requester_sequence_number = 0;
    double nack_at = 0;
    double expires_at = 0;
    bool nack_sent = false;
  };
  enum class Dissemination { always, if_already_known };

  // Updates.
  void apply_update(double now, const Member& update, const std::string& reporter, Dissemination spread);
  void apply_update_about_self(const Member& update);
  void send(const std::string& address, SwimMessage message, const std::string& buddy = {});

  // Probing.
  void start_probe(double now);
  std::string next_probe_target();
  void insert_into_probe_order(const std::string& name);
  void start_indirect_probe();
  void finish_probe(double now);
  void update_indirect_probes(double now);
  void on_ping_request(double now, const std::string& reply_address, const SwimMessage& message);
  void on_ack(const SwimMessage& message);

  // Suspicion and local health.
  SuspicionTiming suspicion_timing() const;
  void expire_suspicions(double now);
  void compensate_for_pause(double now);
  void degrade_local_health(int steps);
  double health_multiplier() const { return 1 + local_health_; }

  // Joining, and repair of views that differ between members.
  void join(double now);
  bool is_only_seed() const;
  void synchronize_view(double now);
  void reconnect(double now);
  void request_view_page();
  void request_view_page_from(const std::string& address);
  void send_view_page(const std::string& reply_address, const SwimMessage& request);
  void on_view_page(double now, const std::string& reply_address, const SwimMessage& page);

  std::size_t live_count() const;  // alive or suspect, this one included
  std::string random_alive_member();
  std::size_t random_index(std::size_t size);  // size must not be 0
  // Returns the sequence number of the ping, which the ack repeats.
  std::uint64_t ping(const std::string& address, const std::string& buddy = {});

  Config config_;
  Member self_;
  std::knuth_b random_;
  bool displaced_ = false;
  bool has_left_ = false;
  int local_health_ = 0;

  MemberTable members_;
  SuspicionTable suspicions_;
  UpdateQueue pending_updates_;

  std::uint64_t last_sequence_number_ = 0;
  std::uint64_t probe_round_ = 0;
  double next_probe_at_;
  Probe current_probe_;
  std::vector<std::string> probe_order_;  // targets still to be probed; the next one is at the end
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;  // by the sequence number of this member's ping

  bool joined_ = false;  // whether a view was read to its last page, or there is no other seed to read from
  double next_join_at_;
  std::string view_cursor_;  // name after which the next page begins

  std::deque<OutgoingMessage> outbox_;
  Counters counters_;
};

}  // namespace indigorill
