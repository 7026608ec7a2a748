/// \file
/// The members of the fleet, as one sidecar sees them: SWIM (Das, Gupta, Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with Lifeguard's
/// refinements (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
/// Detection", 2017).
///
/// No I/O: the clock, the seed of the random draws and the messages are given by the caller, who calls
/// on_timer and on_message and sends what next_message returns.
///
/// Safety: nothing that must never happen may rest on this view. It is a hint, which is late, can differ
/// between members and can take a live member for dead; what needs agreement rests on the leader lease
/// instead.
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

/// One member's side of the protocol. All times are in ms by one clock, which should go on while the machine
/// sleeps: a pause is told by a timer that is called late.
class Membership {
 public:
  struct Config {
    std::string name;                         ///< This member's own.
    std::string address;                      ///< Where others reach it, "address:port".
    std::vector<std::string> seed_addresses;  ///< Through any of them it joins.
    double probe_interval_ms = 1000;          ///< One member is probed in each.
    double probe_timeout_ms = 300;            ///< For a direct answer, before others are asked to probe.
  };

  struct OutgoingMessage {
    std::string recipient;  ///< An address, "address:port".
    SwimMessage message;
  };

  struct Counters {
    std::uint64_t probes_sent = 0;
    std::uint64_t indirect_probes = 0;  ///< Probes for which others were asked.
    std::uint64_t failed_probes = 0;    ///< No answer, neither direct nor through others.
    std::uint64_t refutations = 0;      ///< Of what others said of this member.
    std::uint64_t pauses = 0;           ///< Times that this process stood still.
    std::uint64_t displacements = 0;    ///< Times that another process took this member's name.
  };

  /// \param incarnation the time of the start in ms, so that it is later than that of the last start. One
  /// that is behind what others remember is raised when they say so.
  Membership(Config config, std::uint64_t incarnation, std::uint64_t seed, double now);

  /// Takes in a message of another member.
  /// \param reply_address where answers go.
  void on_message(double now, const std::string& sender, const std::string& reply_address,
                  const SwimMessage& message);
  /// To be called at next_timer_at(); an earlier call does no harm.
  void on_timer(double now);
  /// Infinite after leave().
  double next_timer_at() const;
  /// Announces to a few members that this one leaves; nothing is answered afterwards.
  void leave();
  /// What is to be sent next, if anything.
  std::optional<OutgoingMessage> next_message();

  std::uint64_t incarnation() const { return self_.incarnation; }
  /// Whether another process has this member's name, and is the later one of the two.
  bool is_displaced() const { return displaced_; }
  /// The others, by name.
  const MemberTable::Entries& view() const { return members_.entries(); }
  /// The others, in the order of Member::State.
  std::array<std::size_t, member_state_count> count_by_state() const { return members_.count_by_state(); }
  /// Empty if the name is unknown.
  std::string address_of(const std::string& name) const;
  /// Lifeguard's local health multiplier: 0 if answers come as they should, up to 8 if this process is slow.
  int local_health() const { return local_health_; }
  const Counters& counters() const { return counters_; }

 private:
  // The member that is probed in the current interval. Nobody's at first, and after a pause.
  struct Probe {
    std::string target;
    std::uint64_t sequence_number = 0;
    double direct_deadline = 0;
    bool answered = true;
    bool indirect_started = false;
    std::size_t indirect_requests = 0;
    std::size_t nacks_received = 0;
  };
  // A ping on behalf of another member.
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

  // Joining, and repair of views that differ.
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
  // Returns the sequence number that the answer will have.
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
  std::vector<std::string> probe_order_;                    // the next one is the last
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;  // by the sequence number of this member's ping

  bool joined_ = false;  // whether the view was read to its end
  double next_join_at_;
  std::string view_cursor_;  // the name after which the next page begins

  std::deque<OutgoingMessage> outbox_;
  Counters counters_;
};

}  // namespace indigorill
